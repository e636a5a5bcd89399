//! New indexes of classes, tenants and zones, which settings hold in lists and events name by index.

/// Where the entries of a list stand after a change of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewIndexes(Vec<Option<usize>>);

impl NewIndexes {
    /// Compares the names of a list before and after the change.
    pub fn between(before: &[String], after: &[String]) -> Self {
        Self(before.iter().map(|name| after.iter().position(|other| other == name)).collect())
    }

    /// The new index of an entry; `None` if the entry is gone.
    pub fn of(&self, index: usize) -> Option<usize> {
        self.0.get(index).copied().flatten()
    }

    /// Whether every entry keeps its index.
    pub fn is_identity(&self) -> bool {
        self.0.iter().enumerate().all(|(index, new)| *new == Some(index))
    }
}

/// New indexes of all lists of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Renumbering {
    /// Of the classes.
    pub classes: NewIndexes,
    /// Of the tenants.
    pub tenants: NewIndexes,
    /// Of the zones.
    pub zones: NewIndexes,
}

impl Renumbering {
    /// Whether every entry of every list keeps its index.
    pub fn is_identity(&self) -> bool {
        self.classes.is_identity() && self.tenants.is_identity() && self.zones.is_identity()
    }

    /// The new index of a zone, if the zone is known and not gone.
    pub fn zone(&self, zone: Option<u32>) -> Option<u32> {
        zone.and_then(|zone| self.zones.of(zone as usize)).map(|zone| zone as u32)
    }

    /// The new index of a tenant, if there is a tenant and it is not gone.
    pub fn tenant(&self, tenant: Option<usize>) -> Option<usize> {
        tenant.and_then(|tenant| self.tenants.of(tenant))
    }
}
