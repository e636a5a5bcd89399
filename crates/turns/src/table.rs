//! Which sites hold which prefix: a set-associative table of fixed size with least-recently-used replacement within a
//! set. The cost of a lookup does not depend on the number of entries.

/// Entries per set.
const WAYS: usize = 8;
/// Marks an unused holder slot.
const NO_SITE: u16 = u16::MAX;

/// A site that holds a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    /// The site's index in `Sites::all`.
    pub site: u16,
    /// The site's clock when it was last recorded to hold the prefix.
    pub clock: u32,
    /// The epoch of the site's cache at that time.
    pub epoch: u16,
}

const EMPTY_HOLDER: Holder = Holder { site: NO_SITE, clock: 0, epoch: 0 };

/// The entry of one prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry<const N: usize> {
    pub key: u64,
    /// Value of the table's touch counter when the entry was last touched.
    last_touched: u32,
    /// Tag of the conversation (see `conversation_tag`); 0 for a common prefix.
    pub conversation: u16,
    /// Length of the prefix in blocks.
    pub depth: u16,
    /// Blocks that the conversation's turn added to the prefix there.
    pub added: u16,
    /// Number of turns in a row that expected the prefix and did not find it.
    pub misses: u8,
    /// Decaying count of the turns that used the prefix.
    pub uses: f32,
    /// The clock of all sites when `uses` was last decayed.
    pub uses_updated_at: u32,
    pub holders: [Holder; N],
}

impl<const N: usize> Entry<N> {
    const EMPTY: Self = Self {
        key: 0,
        last_touched: 0,
        conversation: 0,
        depth: 0,
        added: 0,
        misses: 0,
        uses: 0.0,
        uses_updated_at: 0,
        holders: [EMPTY_HOLDER; N],
    };

    pub fn holders(&self) -> impl Iterator<Item = &Holder> {
        self.holders.iter().filter(|h| h.site != NO_SITE)
    }

    /// Records the site as a holder. If there is no room, it replaces the holder recorded longest ago.
    pub fn add_holder(&mut self, site: u16, clock: u32, epoch: u16) {
        let fresh = Holder { site, clock, epoch };
        let index = self.holders.iter().position(|h| h.site == site);
        let index = index.or_else(|| self.holders.iter().position(|h| h.site == NO_SITE));
        let oldest = || (0..N).max_by_key(|i| clock.wrapping_sub(self.holders[*i].clock));
        if let Some(index) = index.or_else(oldest) {
            self.holders[index] = fresh;
        }
    }

    /// Removes the site from the holders.
    pub fn remove_holder(&mut self, site: u16) {
        self.holders.iter_mut().filter(|h| h.site == site).for_each(|h| *h = EMPTY_HOLDER);
    }
}

/// The table; see the module documentation.
pub(crate) struct Table<const N: usize> {
    sets: Vec<[Entry<N>; WAYS]>,
    touches: u32,
    len: usize,
    evicted: u64,
}

impl<const N: usize> Table<N> {
    /// Creates a table with as many sets as fit into `bytes`, and at least one.
    pub fn new(bytes: usize) -> Self {
        let sets = (bytes / size_of::<[Entry<N>; WAYS]>()).max(1);
        Self { sets: vec![[Entry::EMPTY; WAYS]; sets], touches: 0, len: 0, evicted: 0 }
    }

    /// Memory of the table in bytes, independent of the number of entries.
    pub fn bytes(&self) -> usize {
        self.sets.len() * size_of::<[Entry<N>; WAYS]>()
    }

    /// Number of entries, and of entries evicted so far.
    pub fn counts(&self) -> (usize, u64) {
        (self.len, self.evicted)
    }

    /// Maps key 0 to 1, since 0 marks an empty entry.
    fn nonzero_key(key: u64) -> u64 {
        key.max(1)
    }

    fn set_index(&self, key: u64) -> usize {
        // Spreads the key: clients' hashes need not be uniform in any part of their bits.
        let spread = key.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        (spread as usize * self.sets.len()) >> 32
    }

    pub fn get(&self, key: u64) -> Option<&Entry<N>> {
        let key = Self::nonzero_key(key);
        self.sets[self.set_index(key)].iter().find(|e| e.key == key)
    }

    pub fn get_mut(&mut self, key: u64) -> Option<&mut Entry<N>> {
        let key = Self::nonzero_key(key);
        let set = self.set_index(key);
        self.sets[set].iter_mut().find(|e| e.key == key)
    }

    /// Returns the entry of the key. If there is none, it replaces the least recently used entry of the set.
    pub fn touch(&mut self, key: u64) -> &mut Entry<N> {
        let key = Self::nonzero_key(key);
        let set = self.set_index(key);
        self.touches = self.touches.wrapping_add(1);
        let now = self.touches;
        let set = &mut self.sets[set];
        let rank = |e: &Entry<N>| match e.key {
            k if k == key => u64::MAX,
            0 => u64::MAX - 1,
            _ => u64::from(now.wrapping_sub(e.last_touched)),
        };
        let index = (0..WAYS).max_by_key(|i| rank(&set[*i])).unwrap_or(0);
        let entry = &mut set[index];
        if entry.key != key {
            if entry.key == 0 {
                self.len += 1;
            } else {
                self.evicted += 1;
            }
            *entry = Entry { key, ..Entry::EMPTY };
        }
        entry.last_touched = now;
        entry
    }

    pub fn remove(&mut self, key: u64) {
        if let Some(entry) = self.get_mut(key) {
            *entry = Entry::EMPTY;
            self.len -= 1;
        }
    }
}

#[cfg(test)]
mod tests;
