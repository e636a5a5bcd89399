//! Which called functions a router keeps and learns from: the types are in `src/interface.rs`.
//!
//! Clients can call names that no worker has, without end. A function that a worker has served is kept for as long as
//! it is called. The others share few slots, and a name for which a worker answered with an error is removed with its
//! last request, and all that was counted for it. So made-up names neither grow the tables nor take the place of
//! functions that are served.

use std::collections::{BTreeSet, VecDeque};

use crate::interface::*;
use crate::state::{Core, Function};

/// Maximum number of functions that are learnt from, or kept without open requests, before a worker has served them.
const MAX_UNSERVED_FUNCTIONS: usize = 256;
/// Maximum number of functions without open requests that are kept, whoever has served them.
const MAX_IDLE_FUNCTIONS: usize = 4_096;
/// Share of these that is removed when there are more.
const REMOVED_SHARE: usize = 4;
/// Maximum number of functions that are counted as successors of one.
const MAX_SUCCESSORS: usize = 128;
/// A call counts as a successor of an earlier call of the same tenant within this time, once per call.
const SUCCESSION_WINDOW_US: Micros = 1_000_000;

/// The functions that hold one of the slots for those that no worker has served yet.
#[derive(Default)]
pub(crate) struct UnservedFunctions {
    slots_used: usize,
    /// Those without open requests, in the order in which their last request ended.
    idle: VecDeque<FunctionId>,
}

/// What is known of a function that no worker has served yet.
#[derive(Default)]
pub(crate) struct Unserved {
    /// It holds a slot: its calls are counted, and it is kept for a while after its last request.
    has_slot: bool,
    /// A worker that was to serve it answered with an error, and none has shown that it has the function.
    refuted: bool,
    /// The functions whose successors it is counted among.
    predecessors: BTreeSet<FunctionId>,
}

impl UnservedFunctions {
    /// Number of entries in all tables.
    pub(crate) fn entries(&self) -> usize {
        self.idle.len()
    }
}

impl Unserved {
    /// Number of entries in all tables.
    pub(crate) fn entries(&self) -> usize {
        self.predecessors.len()
    }
}

impl Function {
    /// Whether a worker has served a call of it or loaded it.
    pub(crate) fn is_served(&self) -> bool {
        self.unserved.is_none()
    }

    fn has_slot(&self) -> bool {
        self.unserved.as_ref().is_some_and(|unserved| unserved.has_slot)
    }

    fn is_refuted(&self) -> bool {
        self.unserved.as_ref().is_some_and(|unserved| unserved.refuted)
    }

    /// Counts calls that the other function has followed. At the limit, the successors that follow less than the average
    /// are removed.
    fn count_successor(&mut self, id: &FunctionId, calls: u32) {
        if self.successors.len() >= MAX_SUCCESSORS && !self.successors.contains_key(id) {
            let average = self.successors.values().sum::<f64>() / self.successors.len() as f64;
            self.successors.retain(|_, n| *n > average);
        }
        *self.successors.entry(id.clone()).or_default() += f64::from(calls);
    }

    /// Whether nothing is under way that concerns it.
    fn is_idle(&self) -> bool {
        self.open == 0 && self.places.values().all(|p| p.loading.is_none() && p.in_flight == 0)
    }

    /// A worker answered a call of it with an error.
    pub(crate) fn refute(&mut self) {
        let known = self.known;
        self.unserved.iter_mut().for_each(|unserved| unserved.refuted |= !known);
    }
}

impl Core {
    /// Records an open request of the function, and counts its call unless the function is neither served nor holds a
    /// slot. Returns whether it was counted.
    pub(crate) fn open_function(&mut self, id: &FunctionId, tenant: Option<usize>, lanes: u32) -> bool {
        self.limit_functions();
        self.register_function(id);
        let now = self.now;
        let f = self.functions.entry(id.clone()).or_default();
        (f.last_call, f.lanes, f.open) = (now, lanes, f.open + 1);
        let (first, served, has_slot) = (f.open == 1, f.is_served(), f.has_slot());
        if first && has_slot {
            self.unserved.idle.retain(|idle| idle != id);
        }
        let learn = served || has_slot || self.take_slot(id);
        if learn {
            self.learn_call(id, tenant);
        }
        learn
    }

    /// Gives the function a slot if one is free, or held by a function without open requests.
    fn take_slot(&mut self, id: &FunctionId) -> bool {
        if self.unserved.slots_used >= MAX_UNSERVED_FUNCTIONS {
            let Some(oldest) = self.unserved.idle.front().cloned() else { return false };
            self.remove_function(&oldest);
        }
        let unserved = self.functions.get_mut(id).and_then(|f| f.unserved.as_mut());
        let Some(unserved) = unserved else { return false };
        unserved.has_slot = true;
        self.unserved.slots_used += 1;
        true
    }

    /// Counts a call and its predecessors: Accessed_Num and hit_candidate_path of the paper's Algorithm 2,
    /// on order-one paths.
    fn learn_call(&mut self, id: &FunctionId, tenant: Option<usize>) {
        let functions = &mut self.functions;
        let unserved = functions.get(id).is_some_and(|f| !f.is_served());
        let mut predecessors = Vec::new();
        self.recent_calls.call(self.now, (id, tenant), SUCCESSION_WINDOW_US, |before, calls| {
            let Some(f) = functions.get_mut(before) else { return };
            f.count_successor(id, calls);
            if unserved {
                predecessors.push(before.clone());
            }
        });
        let Some(f) = functions.get_mut(id) else { return };
        f.unserved.iter_mut().for_each(|unserved| unserved.predecessors.extend(predecessors.drain(..)));
        (f.calls, f.call_count) = (f.calls + 1.0, f.call_count + 1);
        self.calls += 1.0;
        self.served_calls += if unserved { 0.0 } else { 1.0 };
    }

    /// A worker has served a call of the function, which is counted now if it was not on its arrival.
    pub(crate) fn learn_served_call(&mut self, request: &RequestId, function: &FunctionId) {
        self.mark_served(function);
        let Some(r) = self.requests.get_mut(request) else { return };
        // The index of the tenant is not valid any more if the settings have changed.
        let valid = r.class < self.settings.classes.len();
        let tenant = r.tenant;
        if !std::mem::replace(&mut r.learned, true) && valid {
            self.learn_call(function, tenant);
        }
    }

    /// A worker has served a call of the function or loaded it.
    pub(crate) fn mark_served(&mut self, id: &FunctionId) {
        let Some(f) = self.functions.get_mut(id) else { return };
        let Some(unserved) = f.unserved.take() else { return };
        self.served_calls += f.calls;
        self.release_slot(id, &unserved);
    }

    fn release_slot(&mut self, id: &FunctionId, unserved: &Unserved) {
        if unserved.has_slot {
            self.unserved.slots_used -= 1;
            self.unserved.idle.retain(|idle| idle != id);
        }
    }

    /// A request of the function has been removed. With its last one, the function is removed too, unless a worker has
    /// served it or it holds a slot and was not refuted.
    pub(crate) fn close_function(&mut self, id: &FunctionId) {
        let Some(f) = self.functions.get_mut(id) else { return };
        f.open = f.open.saturating_sub(1);
        if f.open > 0 || f.is_served() {
            return;
        }
        if f.is_refuted() || !f.has_slot() {
            self.remove_function(id);
        } else {
            self.unserved.idle.push_back(id.clone());
        }
    }

    /// Halves the counts of all functions and removes those that were not called for this time.
    pub(crate) fn halve_functions(&mut self, forget: Micros) {
        let now = self.now;
        (self.calls, self.served_calls) = (self.calls / 2.0, self.served_calls / 2.0);
        let expired = self.functions.iter_mut().filter_map(|(id, f)| (!f.halve(now, forget)).then_some(id));
        let expired: Vec<_> = expired.cloned().collect();
        expired.iter().for_each(|id| self.remove_function(id));
    }

    /// Removes idle functions if there are too many, those that were called once first, then those that were called longest
    /// ago: a worker may serve any name that a client makes up.
    fn limit_functions(&mut self) {
        if self.functions.len() <= MAX_IDLE_FUNCTIONS + self.requests.len() {
            return;
        }
        let idle = self.functions.iter().filter(|(_, f)| f.is_idle());
        let mut idle: Vec<_> = idle.map(|(id, f)| (f.call_count > 1, f.last_call, id.clone())).collect();
        idle.sort();
        idle.truncate(MAX_IDLE_FUNCTIONS / REMOVED_SHARE);
        idle.iter().for_each(|(_, _, id)| self.remove_function(id));
    }

    /// Removes the function. Of one that was not served, what was counted for it goes too.
    fn remove_function(&mut self, id: &FunctionId) {
        let Some(f) = self.functions.remove(id) else { return };
        if self.function_keys.get(&f.key) == Some(id) {
            self.function_keys.remove(&f.key);
        }
        let Some(unserved) = f.unserved else { return };
        self.release_slot(id, &unserved);
        if unserved.has_slot {
            self.calls = (self.calls - f.calls).max(0.0);
            self.recent_calls.remove(id);
            for predecessor in &unserved.predecessors {
                if let Some(f) = self.functions.get_mut(predecessor) {
                    f.successors.remove(id);
                }
            }
        }
    }
}
