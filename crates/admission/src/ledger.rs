//! A ledger of reservations of a limited resource: file descriptors, or bytes of memory.
//!
//! Each owner has a reserve; units that are not reserved are available to every owner. The unused reserve of known clients
//! may be borrowed by others, who must return it when known clients need it. The reserves of the other owners are never
//! lent, so that these owners get units within their reserves at once, and an admitted call can always reach a host.

use std::fmt;

use wheellink::Micros;

/// An owner of units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Owner {
    /// Connections to script hosts.
    Hosts,
    /// Known clients.
    Known,
    /// All other clients.
    Others,
    /// Calls by operators.
    Operators,
    /// The process itself: listeners, the bus, the resolver, and the other process during an upgrade.
    Own,
}

impl Owner {
    /// All owners.
    pub const ALL: [Owner; 5] = [Owner::Hosts, Owner::Known, Owner::Others, Owner::Operators, Owner::Own];

    /// The name shown to operators.
    pub fn as_str(self) -> &'static str {
        ["hosts", "known", "others", "operators", "own"][self as usize]
    }

    /// Whether others may borrow the unused reserve of this owner.
    fn lends(self) -> bool {
        self == Owner::Known
    }
}

/// The outcome of [`Ledger::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// The units are taken.
    Granted,
    /// The units are taken, on loan from the reserve of known clients.
    Borrowed,
    /// The units are within the reserve, but on loan to this owner, which must release them before the next attempt.
    OwedBy(Owner),
    /// No units are available to this owner.
    Denied,
}

/// Why limits are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerError(pub String);

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for LedgerError {}

const OWNERS: usize = Owner::ALL.len();

/// A ledger of reservations; see the module documentation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    limit: usize,
    /// A temporary lower limit after the system had fewer units than `limit`; `usize::MAX` if there is none.
    ceiling: usize,
    raised_at: Micros,
    step: usize,
    reserve: [usize; OWNERS],
    held: [usize; OWNERS],
}

/// The interval at which the ceiling rises after the system had fewer units than the limit. The steps double (1, 2, 4, ...),
/// so that the ceiling rises fast after a short shortage, and few attempts fail during a long one.
const CEILING_RAISE_INTERVAL_US: Micros = 100_000;

impl Ledger {
    /// Creates a ledger with a limit and the reserves in the order of [`Owner::ALL`].
    ///
    /// # Errors
    /// The sum of the reserves exceeds the limit.
    pub fn new(limit: usize, reserve: [usize; OWNERS]) -> Result<Self, LedgerError> {
        let mut ledger = Self {
            limit: 0,
            ceiling: usize::MAX,
            raised_at: 0,
            step: 1,
            reserve: [0; OWNERS],
            held: [0; OWNERS],
        };
        ledger.set_limits(limit, reserve)?;
        Ok(ledger)
    }

    /// Replaces the limit and the reserves. Units held beyond the new limit stay held until they are released; until then
    /// nothing new is granted.
    ///
    /// # Errors
    /// The sum of the reserves exceeds the limit; the old values stay in force.
    pub fn set_limits(&mut self, limit: usize, reserve: [usize; OWNERS]) -> Result<(), LedgerError> {
        let sum = reserve.iter().try_fold(0usize, |sum, r| sum.checked_add(*r));
        match sum.filter(|sum| *sum <= limit) {
            Some(_) => {
                (self.limit, self.reserve) = (limit, reserve);
                Ok(())
            }
            None => Err(LedgerError(format!("the reserves {reserve:?} are more than the limit of {limit}"))),
        }
    }

    /// The units held by an owner.
    pub fn held(&self, owner: Owner) -> usize {
        self.held[owner as usize]
    }

    /// The units held by all owners.
    pub fn total_held(&self) -> usize {
        self.held.iter().sum()
    }

    /// The limit in force.
    pub fn limit(&self) -> usize {
        self.limit.min(self.ceiling)
    }

    /// The reserve of an owner.
    pub fn reserve(&self, owner: Owner) -> usize {
        self.reserve[owner as usize]
    }

    fn unused(&self, owner: Owner) -> usize {
        self.reserve(owner).saturating_sub(self.held(owner))
    }

    /// Takes all of the requested units for an owner, or none.
    pub fn take(&mut self, owner: Owner, units: usize) -> TakeOutcome {
        let free = self.limit().saturating_sub(self.total_held());
        let others = Owner::ALL.into_iter().filter(|o| *o != owner);
        let (mut reserved, mut lendable) = (0, 0);
        for other in others {
            match other.lends() {
                true => lendable += self.unused(other),
                false => reserved += self.unused(other),
            }
        }
        let within = self.held(owner) + units <= self.reserve(owner);
        // A reserve that is never lent is always free for its owner. The reserve of a lender may be on loan, and must not
        // be replaced by units from the reserves of others.
        let entitled = within && units + if owner.lends() { reserved } else { 0 } <= free;
        let taken = if entitled || units + reserved + lendable <= free {
            TakeOutcome::Granted
        } else if units + reserved <= free && !owner.lends() {
            TakeOutcome::Borrowed
        } else {
            let excess = |o: &Owner| self.held(*o).saturating_sub(self.reserve(*o));
            let borrower = Owner::ALL.into_iter().filter(|o| *o != owner && excess(o) > 0).max_by_key(excess);
            return match borrower.filter(|_| within) {
                Some(borrower) => TakeOutcome::OwedBy(borrower),
                None => TakeOutcome::Denied,
            };
        };
        self.held[owner as usize] += units;
        taken
    }

    /// Sets the units held by an owner that counts them itself.
    pub fn set_held(&mut self, owner: Owner, units: usize) {
        self.held[owner as usize] = units;
    }

    /// The units that an owner could take now without borrowing.
    pub fn available(&self, owner: Owner) -> usize {
        let free = self.limit().saturating_sub(self.total_held());
        let others = Owner::ALL.into_iter().filter(|o| *o != owner);
        let reserved: usize = others.map(|o| self.unused(o)).sum();
        free.saturating_sub(reserved).max(self.unused(owner).min(free))
    }

    /// Releases units. Releasing more than is held is a bug of the caller; all held units are released then.
    pub fn release(&mut self, owner: Owner, units: usize) {
        debug_assert!(self.held(owner) >= units, "{owner:?} releases more than it holds");
        self.held[owner as usize] -= units.min(self.held(owner));
    }

    /// Transfers held units to another owner, for example when a client becomes known.
    pub fn transfer(&mut self, from: Owner, to: Owner, units: usize) {
        let units = units.min(self.held(from));
        self.held[from as usize] -= units;
        self.held[to as usize] += units;
    }

    /// Records that the system had no more units although the limit allows more. Lowers the ceiling to the units held now;
    /// [`Ledger::tick`] raises it again step by step.
    pub fn set_exhausted(&mut self, now: Micros) {
        (self.ceiling, self.raised_at, self.step) = (self.total_held(), now, 1);
    }

    /// Raises the ceiling according to the time that has passed.
    pub fn tick(&mut self, now: Micros) {
        if self.ceiling < self.limit {
            // After the clock jumps back, the interval starts anew at the present time.
            self.raised_at = self.raised_at.min(now);
            while self.ceiling < self.limit && now - self.raised_at >= CEILING_RAISE_INTERVAL_US {
                self.ceiling = self.ceiling.saturating_add(self.step);
                self.step = self.step.saturating_mul(2);
                self.raised_at += CEILING_RAISE_INTERVAL_US;
            }
        } else {
            self.ceiling = usize::MAX;
        }
    }
}
