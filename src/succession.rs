//! Counts which functions follow which: hit_candidate_path of the paper, on order-one paths.
//!
//! For each call, each function that follows it within the window counts once, if the tenant is the same. So a call of
//! `g` counts for every call of another function since the last call of `g`; for earlier ones, `g` is already counted. No
//! call needs a set of its followers, and a call of a function costs one step for each other function called since
//! the function's last call, however many calls these had.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{FunctionId, Micros};

/// A call counts for this many other functions at most, those that were called last, so that its cost does not grow with the
/// names that a client makes up.
const MAX_FOLLOWED: usize = 256;

/// The calls of one tenant within the window.
#[derive(Default)]
struct TenantCalls {
    /// Numbers of the calls of each function, oldest first.
    calls: BTreeMap<FunctionId, VecDeque<u64>>,
    /// These functions by the number of their last call.
    latest: BTreeMap<u64, FunctionId>,
}

/// A call within the window.
struct Call {
    at: Micros,
    number: u64,
    tenant: Option<usize>,
    function: FunctionId,
}

/// The calls within the window.
#[derive(Default)]
pub(crate) struct Succession {
    number: u64,
    /// Oldest first. All tables are bounded by the number of calls in the window.
    window: VecDeque<Call>,
    tenants: BTreeMap<Option<usize>, TenantCalls>,
}

impl Succession {
    /// Counts a call. `followed` is called for each other function that was called since the last call of this function,
    /// with the number of those calls: this call is the first of its function that follows them.
    pub(crate) fn call(
        &mut self,
        now: Micros,
        (id, tenant): (&FunctionId, Option<usize>),
        window: Micros,
        mut followed: impl FnMut(&FunctionId, u32),
    ) {
        self.expire(now, window);
        self.number += 1;
        let tenant_calls = self.tenants.entry(tenant).or_default();
        let own = tenant_calls.calls.entry(id.clone()).or_default();
        let since = own.back().copied().unwrap_or(0);
        own.push_back(self.number);
        tenant_calls.latest.remove(&since);
        for (_, other) in tenant_calls.latest.range(since + 1..).rev().take(MAX_FOLLOWED) {
            let calls = &tenant_calls.calls[other];
            let before = calls.partition_point(|number| *number <= since);
            followed(other, (calls.len() - before) as u32);
        }
        tenant_calls.latest.insert(self.number, id.clone());
        self.window.push_back(Call { at: now, number: self.number, tenant, function: id.clone() });
    }

    /// Number of entries in all tables.
    pub(crate) fn entries(&self) -> usize {
        let count = |t: &TenantCalls| t.latest.len() + t.calls.values().map(|c| 1 + c.len()).sum::<usize>();
        self.window.len() + self.tenants.values().map(count).sum::<usize>()
    }

    /// Clears all calls, as the indexes of tenants change.
    pub(crate) fn clear(&mut self) {
        self.window.clear();
        self.tenants.clear();
    }

    /// Removes all calls of the function.
    pub(crate) fn remove(&mut self, id: &FunctionId) {
        for tenant_calls in self.tenants.values_mut() {
            tenant_calls.remove(id);
        }
        self.tenants.retain(|_, tenant_calls| !tenant_calls.calls.is_empty());
    }

    fn expire(&mut self, now: Micros, window: Micros) {
        while self.window.front().is_some_and(|call| now - call.at > window) {
            let Some(call) = self.window.pop_front() else { return };
            let Some(tenant_calls) = self.tenants.get_mut(&call.tenant) else { continue };
            tenant_calls.expire(&call);
            if tenant_calls.calls.is_empty() {
                self.tenants.remove(&call.tenant);
            }
        }
    }
}

impl TenantCalls {
    fn remove(&mut self, id: &FunctionId) {
        let last = self.calls.remove(id).and_then(|calls| calls.back().copied());
        last.map(|number| self.latest.remove(&number));
    }

    /// Removes the oldest call. Calls of a function that was removed are not there any more.
    fn expire(&mut self, call: &Call) {
        let Some(calls) = self.calls.get_mut(&call.function) else { return };
        if calls.front() != Some(&call.number) {
            return;
        }
        calls.pop_front();
        if calls.is_empty() {
            self.calls.remove(&call.function);
            self.latest.remove(&call.number);
        }
    }
}

#[cfg(test)]
mod tests;
