//! When the lab itself was not scheduled: what came meanwhile was read late.

/// Spans of time in microseconds since the run began, in order and without overlap.
#[derive(Default)]
pub(crate) struct HeldUp(Vec<(u64, u64)>);

impl HeldUp {
    /// Adds a span that ends later than those before it.
    pub(crate) fn add(&mut self, mut from: u64, to: u64) {
        while let Some(before) = self.0.pop_if(|(_, before_to)| *before_to >= from) {
            from = from.min(before.0);
        }
        self.0.push((from, to));
    }

    /// For how long within this time, in microseconds.
    pub(crate) fn within(&self, from: u64, to: u64) -> u64 {
        self.0.iter().map(|(begun, ended)| (*ended).min(to).saturating_sub((*begun).max(from))).sum()
    }
}

#[cfg(test)]
mod tests;
