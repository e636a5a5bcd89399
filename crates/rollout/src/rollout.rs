//! The phases of a rollout: when the share rises, stays and drops, and for which cause.

use std::collections::VecDeque;
use std::fmt;

use wheellink::Micros;

use crate::gates::{CallOutcome, Gate, Gates, Verdict};
use crate::plan::{GateSettings, OnFail, Plan};
use crate::split::{Share, Split};
use crate::Version;

/// Transitions that are kept for operators.
const MAX_TRANSITIONS: usize = 64;
const GATE_CHECK_INTERVAL_US: Micros = 200_000;
/// How long a candidate may be silent if there is no plan.
const DEFAULT_SILENCE_US: Micros = 1_000_000;

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No rollout has begun.
    Idle,
    /// The share rises step by step, as the plan says.
    Stepping,
    /// The share stays as it is until an operator acts.
    Held,
    /// The share is 0; calls that were passed to the new version have not all ended.
    RollingBack,
    /// The old version decides all calls again.
    RolledBack,
    /// The new version takes over the clients.
    Complete,
}

impl Phase {
    /// The name that operators see.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Idle => "idle",
            Phase::Stepping => "stepping",
            Phase::Held => "held",
            Phase::RollingBack => "going_back",
            Phase::RolledBack => "back",
            Phase::Complete => "complete",
        }
    }
}

/// Cause of a transition.
#[derive(Clone, Debug, PartialEq)]
pub enum Cause {
    /// A call by an operator; the name of the call.
    Operator(&'static str),
    /// The operator's file says that the rollout begins when a candidate is ready.
    SettingsFile,
    /// The step has reached its minimum duration and calls, and its gates pass.
    StepDone,
    /// The last step is done, and the plan completes without an operator.
    PlanDone,
    /// A gate failed.
    Gate(Box<Gate>),
    /// The last call of the new version has ended.
    CandidateDrained,
    /// The new version's process has ended or was given up, for this reason.
    CandidateLost(&'static str),
    /// The new version is terminating.
    CandidateLeaving,
    /// The old version is terminating: the new one takes over.
    HolderEnding,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Operator(call) => write!(f, "an operator's call: {call}"),
            Cause::SettingsFile => f.write_str("the operator's file: begin = \"ready\""),
            Cause::StepDone => f.write_str("the step's minimum time and calls are reached, its gates pass"),
            Cause::PlanDone => f.write_str("the last step is done"),
            Cause::Gate(gate) => {
                let class = gate.class.as_deref().unwrap_or("all classes");
                write!(
                    f,
                    "gate {} of {class}: new {} of {}, old {} of {} in this step",
                    gate.metric.as_str(),
                    gate.new.hits,
                    gate.new.calls,
                    gate.old.hits,
                    gate.old.calls
                )
            }
            Cause::CandidateDrained => f.write_str("the last call of the new version has ended"),
            Cause::CandidateLost(why) => write!(f, "the new version is lost: {why}"),
            Cause::CandidateLeaving => f.write_str("the new version is terminating"),
            Cause::HolderEnding => f.write_str("the old version is terminating"),
        }
    }
}

/// A change of phase or share, shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// When it happened.
    pub at: Micros,
    /// The phase before it.
    pub from: Phase,
    /// The phase after it.
    pub to: Phase,
    /// The share after it.
    pub share: Share,
    /// Its cause.
    pub cause: Cause,
}

/// What the embedder has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hand the clients over to the candidate.
    Complete,
}

/// Why an operator's call is rejected in the current phase.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection(pub String);

/// The state of a rollout in the holder.
pub struct Rollout {
    phase: Phase,
    plan: Option<Plan>,
    /// Index of the current step in the plan, from 0.
    step_index: usize,
    step_started: Micros,
    last_gate_check: Micros,
    attached: bool,
    split: Split,
    gates: Gates,
    history: VecDeque<Transition>,
    /// Transitions that the embedder has not taken yet.
    new_transitions: Vec<Transition>,
}

impl Default for Rollout {
    fn default() -> Self {
        Self {
            phase: Phase::Idle,
            plan: None,
            step_index: 0,
            step_started: 0,
            last_gate_check: 0,
            attached: false,
            split: Split::new(""),
            gates: Gates::new(GateSettings::default()),
            history: VecDeque::new(),
            new_transitions: Vec::new(),
        }
    }
}

impl Rollout {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The current share.
    pub fn share(&self) -> Share {
        self.split.share()
    }

    /// The current plan and the index of its current step, from 0.
    pub fn plan(&self) -> Option<(&Plan, usize)> {
        self.plan.as_ref().map(|plan| (plan, self.step_index))
    }

    /// The gates with their evidence.
    pub fn gates(&self) -> &Gates {
        &self.gates
    }

    /// The split, for its counters.
    pub fn split(&self) -> &Split {
        &self.split
    }

    /// The most recent transitions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Transition> {
        self.history.iter()
    }

    /// Returns the transitions since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.new_transitions)
    }

    /// Whether a candidate is attached.
    pub fn attached(&self) -> bool {
        self.attached
    }

    /// Whether calls may be passed to the candidate.
    pub fn passes_calls(&self) -> bool {
        self.attached && matches!(self.phase, Phase::Stepping | Phase::Held | Phase::Complete)
    }

    /// How long the candidate may be silent before it is given up.
    pub fn max_silence(&self) -> Micros {
        self.plan.as_ref().map_or(DEFAULT_SILENCE_US, Plan::max_silence)
    }

    fn transition(&mut self, now: Micros, to: Phase, share: Share, cause: Cause) {
        let from = std::mem::replace(&mut self.phase, to);
        self.split.set_share(share);
        let transition = Transition { at: now, from, to, share, cause };
        if self.history.len() >= MAX_TRANSITIONS {
            self.history.pop_front();
        }
        self.history.push_back(transition.clone());
        self.new_transitions.push(transition);
    }

    fn enter_step(&mut self, now: Micros, step: usize, cause: Cause) {
        let share = self.plan.as_ref().and_then(|p| p.steps.get(step)).map_or(Share::NONE, |s| s.share());
        (self.step_index, self.step_started, self.last_gate_check) = (step, now, now);
        self.gates.begin_step(share == Share::ALL);
        self.transition(now, Phase::Stepping, share, cause);
    }

    /// Attaches a candidate.
    pub fn attach(&mut self) {
        self.attached = true;
        if self.phase != Phase::Idle {
            // This is another candidate than that of the previous rollout.
            (self.phase, self.plan, self.step_index) = (Phase::Idle, None, 0);
            self.split.set_share(Share::NONE);
        }
    }

    /// Detaches the candidate after its process has ended or was given up.
    pub fn detach(&mut self, now: Micros, cause: Cause) {
        self.attached = false;
        match self.phase {
            Phase::Idle | Phase::RolledBack => {}
            _ => self.transition(now, Phase::RolledBack, Share::NONE, cause),
        }
    }

    /// Begins a rollout with a plan that was checked. A repeated call with the same plan succeeds without effect.
    ///
    /// # Errors
    /// No candidate is attached, or another rollout is under way.
    pub fn begin(&mut self, now: Micros, plan: Plan, cause: Cause) -> Result<(), Rejection> {
        if !self.attached {
            return Err(Rejection("no new version is running: start it next to this process".into()));
        }
        match self.phase {
            Phase::Stepping | Phase::Held if self.plan.as_ref() == Some(&plan) => return Ok(()),
            Phase::Stepping | Phase::Held => {
                return Err(Rejection("another rollout is under way: roll it back first".into()))
            }
            Phase::RollingBack => {
                return Err(Rejection("calls of the new version have not ended yet".into()))
            }
            Phase::Complete => return Err(Rejection("the new version has the clients already".into())),
            Phase::Idle | Phase::RolledBack => {}
        }
        self.split = Split::new(&plan.name);
        self.gates = Gates::new(plan.gates.clone());
        self.plan = Some(plan);
        self.enter_step(now, 0, cause);
        Ok(())
    }

    /// Goes to the next step, or to step `to` (counted from 1), immediately. A held rollout resumes.
    ///
    /// # Errors
    /// No rollout is under way, or the plan has no such step ahead.
    pub fn step(&mut self, now: Micros, to: Option<usize>) -> Result<(), Rejection> {
        self.check_under_way()?;
        let step_count = self.plan.as_ref().map_or(0, |p| p.steps.len());
        let current = self.step_index + 1;
        let to = to.unwrap_or(current + 1);
        if to == current {
            if self.phase == Phase::Held {
                self.enter_step(now, self.step_index, Cause::Operator("step"));
            }
            return Ok(());
        }
        if to < current {
            return Err(Rejection(format!("step {to} is behind; roll back to lower the share")));
        }
        if to > step_count {
            return Err(Rejection(format!("the plan has no step {to}; complete it after its last step")));
        }
        self.enter_step(now, to - 1, Cause::Operator("step"));
        Ok(())
    }

    /// Keeps the share as it is until an operator acts.
    ///
    /// # Errors
    /// No rollout is under way.
    pub fn hold(&mut self, now: Micros) -> Result<(), Rejection> {
        self.check_under_way()?;
        if self.phase != Phase::Held {
            let share = self.share();
            self.transition(now, Phase::Held, share, Cause::Operator("hold"));
        }
        Ok(())
    }

    /// Rolls back: the share drops to 0 immediately.
    ///
    /// # Errors
    /// No rollout has begun, or the new version has the clients already.
    pub fn roll_back(&mut self, now: Micros) -> Result<(), Rejection> {
        match self.phase {
            Phase::RollingBack | Phase::RolledBack => Ok(()),
            Phase::Complete => Err(Rejection(
                "the new version has the clients: to go back, upgrade to the old version".into(),
            )),
            Phase::Idle => Err(Rejection("no rollout is under way".into())),
            Phase::Stepping | Phase::Held => {
                self.transition(now, Phase::RollingBack, Share::NONE, Cause::Operator("back"));
                Ok(())
            }
        }
    }

    /// Rolls back because the candidate is terminating: no more calls are passed to it.
    pub fn candidate_leaving(&mut self, now: Micros) {
        if matches!(self.phase, Phase::Stepping | Phase::Held) {
            self.transition(now, Phase::RollingBack, Share::NONE, Cause::CandidateLeaving);
        }
    }

    /// Completes the rollout: the new version takes over the clients.
    ///
    /// # Errors
    /// The share is not 100%, or no rollout is under way.
    pub fn complete(&mut self, now: Micros) -> Result<Option<Action>, Rejection> {
        if self.phase == Phase::Complete {
            return Ok(None);
        }
        self.check_under_way()?;
        if self.share() != Share::ALL {
            return Err(Rejection(format!(
                "the share is {}%; step to 100% before completing",
                self.share().percent()
            )));
        }
        self.transition(now, Phase::Complete, Share::ALL, Cause::Operator("complete"));
        Ok(Some(Action::Complete))
    }

    /// Completes the rollout because the holder is terminating, unless it was rolled back.
    pub fn holder_ending(&mut self, now: Micros) -> Option<Action> {
        if !self.attached || !matches!(self.phase, Phase::Stepping | Phase::Held) {
            return None;
        }
        self.transition(now, Phase::Complete, Share::ALL, Cause::HolderEnding);
        Some(Action::Complete)
    }

    fn check_under_way(&self) -> Result<(), Rejection> {
        match self.phase {
            Phase::Stepping | Phase::Held if self.attached => Ok(()),
            Phase::Complete => Err(Rejection("the rollout is complete".into())),
            _ => Err(Rejection("no rollout is under way".into())),
        }
    }

    /// Assigns a call to a version. A key is given with the window of its class.
    pub fn decide(&mut self, now: Micros, key: Option<(&str, Micros)>, id: &str) -> Version {
        if self.passes_calls() {
            self.split.decide(now, key, id)
        } else {
            Version::Old
        }
    }

    /// Records a call that has ended; see [`Gates::record`].
    pub fn record(&mut self, version: Version, class: &str, outcome: CallOutcome, took: Micros, aim: Micros) {
        if self.passes_calls() {
            self.gates.record(version, class, outcome, took, aim);
        }
    }

    /// Checks at time `now` whether a rollback is finished, a gate fails, or the current step is done. `open_calls`
    /// is the number of calls of the new version that have not ended.
    pub fn tick(&mut self, now: Micros, open_calls: usize) -> Option<Action> {
        if self.phase == Phase::RollingBack && open_calls == 0 {
            self.transition(now, Phase::RolledBack, Share::NONE, Cause::CandidateDrained);
        }
        if now - self.last_gate_check < GATE_CHECK_INTERVAL_US && now >= self.last_gate_check {
            return None;
        }
        self.last_gate_check = now;
        if !self.attached || !matches!(self.phase, Phase::Stepping | Phase::Held) {
            return None;
        }
        self.gates.close_blocks();
        let (verdict, gate) = self.gates.verdict();
        let plan = self.plan.as_ref()?;
        if let (Verdict::Fails, Some(gate)) = (verdict, gate) {
            let cause = Cause::Gate(Box::new(gate));
            match plan.on_fail {
                OnFail::RollBack => self.transition(now, Phase::RollingBack, Share::NONE, cause),
                OnFail::Hold if self.phase == Phase::Stepping => {
                    let share = self.share();
                    self.transition(now, Phase::Held, share, cause);
                }
                OnFail::Hold => {}
            }
            return None;
        }
        let step = plan.steps.get(self.step_index)?;
        let done = now - self.step_started >= step.min_duration()
            && self.gates.candidate_calls() >= step.min_calls
            && verdict == Verdict::Passes;
        if self.phase != Phase::Stepping || !done {
            return None;
        }
        if self.step_index + 1 < plan.steps.len() {
            self.enter_step(now, self.step_index + 1, Cause::StepDone);
        } else if plan.auto_complete {
            self.transition(now, Phase::Complete, Share::ALL, Cause::PlanDone);
            return Some(Action::Complete);
        }
        None
    }
}
