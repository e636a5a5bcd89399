//! How long a connection to a host may lie idle and still be used. Pure.
//!
//! Hosts, and what stands between, drop idle connections earlier than they say, and tell so only when the
//! next request comes: by a reset, after which a mail can never be sent again. So it is learnt from what
//! became of the first request after each idle time.

use wheellink::Micros;

/// Idle times are told apart by steps of half an octave, from a millisecond on.
const STEPS: usize = 32;
/// A step is believed to be bad after so many connections broke, if more than this share did: connections
/// break for other reasons too.
const BREAKS: f64 = 3.0;
const SHARE: f64 = 0.05;
/// What was learnt is halved this often: then longer idle times are tried anew.
const HALVING: Micros = 20_000_000;

/// See the module's page.
#[derive(Default)]
pub struct IdleLimit {
    /// First uses after such an idle time, and those that met a break.
    steps: [(f64, f64); STEPS],
    halved: Micros,
    limit: Option<Micros>,
}

impl IdleLimit {
    fn step(idle: Micros) -> usize {
        let octaves = (idle.max(1) as f64 / 1000.0).log2().max(0.0);
        ((octaves * 2.0) as usize).min(STEPS - 1)
    }

    /// What became of a connection's first request after it had been idle for so long.
    pub fn learn(&mut self, now: Micros, idle: Micros, broke: bool) {
        if now - self.halved >= HALVING {
            self.halved = now;
            self.steps
                .iter_mut()
                .for_each(|(tries, breaks)| (*tries, *breaks) = (*tries / 2.0, *breaks / 2.0));
        }
        let (tries, breaks) = &mut self.steps[Self::step(idle)];
        *tries += 1.0;
        *breaks += f64::from(u8::from(broke));
        let bad = |(tries, breaks): &(f64, f64)| *breaks >= BREAKS && *breaks > SHARE * tries;
        let first = self.steps.iter().position(bad);
        self.limit = first.map(|step| (1000.0 * (step as f64 / 2.0).exp2()) as Micros);
    }

    /// Whether a connection that has been idle for so long is better not used.
    pub fn too_long(&self, idle: Micros) -> bool {
        self.limit.is_some_and(|limit| idle >= limit)
    }
}

#[cfg(test)]
mod tests;
