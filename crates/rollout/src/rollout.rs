//! The life of a rollout: when the share rises, stops and falls, and why.

use std::collections::VecDeque;
use std::fmt;

use wheellink::Micros;

use crate::gates::{CallOutcome, Gate, Gates, Verdict};
use crate::plan::{GateSettings, OnFail, Plan};
use crate::split::{Share, Split};
use crate::Version;

/// Changes that are kept for operators.
pub const MOST_CHANGES: usize = 64;
/// The gates are looked at this often.
const LOOK: Micros = 200_000;

/// Where a rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Nothing was begun.
    Idle,
    /// The share rises by its plan.
    Stepping,
    /// The share stays until an operator says otherwise.
    Held,
    /// The share is 0; calls that the new version decides come to their end.
    RollingBack,
    /// The old version decides everything again.
    RolledBack,
    /// The new version takes the clients.
    Complete,
}

impl Phase {
    /// As it is told to operators.
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

/// Why something changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Cause {
    /// An operator's call, by its name.
    Operator(&'static str),
    /// The operator's file has it begin when a new version is there.
    SettingsFile,
    /// The step's time and calls are there and its gates hold.
    StepDone,
    /// The last step is done and the plan completes by itself.
    PlanDone,
    /// A gate failed.
    Gate(Box<Gate>),
    /// The last call of the new version has ended.
    CandidateDrained,
    /// The new version's process is gone or was given up, for this reason.
    CandidateLost(&'static str),
    /// The new version was told to end.
    CandidateLeaving,
    /// The old version was told to end: the new one takes its place.
    HolderEnding,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Operator(call) => write!(f, "an operator's call: {call}"),
            Cause::SettingsFile => f.write_str("the operator's file: begin = \"ready\""),
            Cause::StepDone => f.write_str("the step's time and calls are there and its gates hold"),
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
            Cause::CandidateLeaving => f.write_str("the new version was told to end"),
            Cause::HolderEnding => f.write_str("the old version was told to end"),
        }
    }
}

/// One change, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// When.
    pub at: Micros,
    /// From and to.
    pub from: Phase,
    /// The state after it.
    pub to: Phase,
    /// The share after it.
    pub share: Share,
    /// Why.
    pub cause: Cause,
}

/// What the embedder is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Have the candidate take the clients.
    Complete,
}

/// An operator's call that makes no sense now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection(pub String);

/// See the module's page.
pub struct Rollout {
    phase: Phase,
    plan: Option<Plan>,
    /// Which of the plan's steps, from 0.
    step: usize,
    since: Micros,
    looked: Micros,
    attached: bool,
    split: Split,
    gates: Gates,
    history: VecDeque<Transition>,
    /// Changes since the embedder took them for its log.
    fresh: Vec<Transition>,
}

impl Default for Rollout {
    fn default() -> Self {
        Self {
            phase: Phase::Idle,
            plan: None,
            step: 0,
            since: 0,
            looked: 0,
            attached: false,
            split: Split::new(""),
            gates: Gates::new(GateSettings::default()),
            history: VecDeque::new(),
            fresh: Vec::new(),
        }
    }
}

impl Rollout {
    /// Where it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The share in force.
    pub fn share(&self) -> Share {
        self.split.share()
    }

    /// The plan in force, and which of its steps, from 0.
    pub fn plan(&self) -> Option<(&Plan, usize)> {
        self.plan.as_ref().map(|plan| (plan, self.step))
    }

    /// What the gates know.
    pub fn gates(&self) -> &Gates {
        &self.gates
    }

    /// The split, for what it counts.
    pub fn split(&self) -> &Split {
        &self.split
    }

    /// The last changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Transition> {
        self.history.iter()
    }

    /// Changes since this was asked last.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.fresh)
    }

    /// Whether a candidate is there.
    pub fn attached(&self) -> bool {
        self.attached
    }

    /// Whether calls may be passed.
    pub fn passes_calls(&self) -> bool {
        self.attached && matches!(self.phase, Phase::Stepping | Phase::Held | Phase::Complete)
    }

    /// What may be silent how long; a second where there is no plan.
    pub fn max_silence(&self) -> Micros {
        self.plan.as_ref().map_or(1_000_000, Plan::max_silence)
    }

    fn change(&mut self, now: Micros, to: Phase, share: Share, cause: Cause) {
        let from = std::mem::replace(&mut self.phase, to);
        self.split.set_share(share);
        let change = Transition { at: now, from, to, share, cause };
        if self.history.len() >= MOST_CHANGES {
            self.history.pop_front();
        }
        self.history.push_back(change.clone());
        self.fresh.push(change);
    }

    fn enter(&mut self, now: Micros, step: usize, cause: Cause) {
        let share = self.plan.as_ref().and_then(|p| p.steps.get(step)).map_or(Share::NONE, |s| s.share());
        (self.step, self.since, self.looked) = (step, now, now);
        self.gates.begin_step(share == Share::ALL);
        self.change(now, Phase::Stepping, share, cause);
    }

    /// A candidate has come.
    pub fn attach(&mut self) {
        self.attached = true;
        if self.phase != Phase::Idle {
            // Another one than that of the rollout before.
            (self.phase, self.plan, self.step) = (Phase::Idle, None, 0);
            self.split.set_share(Share::NONE);
        }
    }

    /// The candidate is gone.
    pub fn detach(&mut self, now: Micros, cause: Cause) {
        self.attached = false;
        match self.phase {
            Phase::Idle | Phase::RolledBack => {}
            _ => self.change(now, Phase::RolledBack, Share::NONE, cause),
        }
    }

    /// Begins a plan, which must have been checked. The same plan once more is a yes.
    ///
    /// # Errors
    /// No candidate is there, or another rollout is under way.
    pub fn begin(&mut self, now: Micros, plan: Plan, cause: Cause) -> Result<(), Rejection> {
        if !self.attached {
            return Err(Rejection("no new version is there: start it beside this one".into()));
        }
        match self.phase {
            Phase::Stepping | Phase::Held if self.plan.as_ref() == Some(&plan) => return Ok(()),
            Phase::Stepping | Phase::Held => {
                return Err(Rejection("another rollout is under way: call back first".into()))
            }
            Phase::RollingBack => {
                return Err(Rejection("calls of the new version are still coming to their end".into()))
            }
            Phase::Complete => return Err(Rejection("the new version takes the clients already".into())),
            Phase::Idle | Phase::RolledBack => {}
        }
        self.split = Split::new(&plan.name);
        self.gates = Gates::new(plan.gates.clone());
        self.plan = Some(plan);
        self.enter(now, 0, cause);
        Ok(())
    }

    /// To the next step, or to this one (counted from 1), at once. From being held it goes on.
    ///
    /// # Errors
    /// Nothing is under way, or there is no such step ahead.
    pub fn step(&mut self, now: Micros, to: Option<usize>) -> Result<(), Rejection> {
        self.under_way()?;
        let steps = self.plan.as_ref().map_or(0, |p| p.steps.len());
        let at = self.step + 1;
        let to = to.unwrap_or(at + 1);
        if to == at {
            if self.phase == Phase::Held {
                self.enter(now, self.step, Cause::Operator("step"));
            }
            return Ok(());
        }
        if to < at {
            return Err(Rejection(format!("step {to} is behind; to lower the share call back")));
        }
        if to > steps {
            return Err(Rejection(format!("the plan has no step {to}; after the last one call complete")));
        }
        self.enter(now, to - 1, Cause::Operator("step"));
        Ok(())
    }

    /// The share stays as it is.
    ///
    /// # Errors
    /// Nothing is under way.
    pub fn hold(&mut self, now: Micros) -> Result<(), Rejection> {
        self.under_way()?;
        if self.phase != Phase::Held {
            let share = self.share();
            self.change(now, Phase::Held, share, Cause::Operator("hold"));
        }
        Ok(())
    }

    /// The share falls to 0 at once.
    ///
    /// # Errors
    /// Nothing was begun, or the new version has the clients already.
    pub fn roll_back(&mut self, now: Micros) -> Result<(), Rejection> {
        match self.phase {
            Phase::RollingBack | Phase::RolledBack => Ok(()),
            Phase::Complete => Err(Rejection(
                "the new version has the clients: the way back is an upgrade to the old one".into(),
            )),
            Phase::Idle => Err(Rejection("no rollout is under way".into())),
            Phase::Stepping | Phase::Held => {
                self.change(now, Phase::RollingBack, Share::NONE, Cause::Operator("back"));
                Ok(())
            }
        }
    }

    /// The candidate is about to end by itself: nothing more goes to it.
    pub fn candidate_leaving(&mut self, now: Micros) {
        if matches!(self.phase, Phase::Stepping | Phase::Held) {
            self.change(now, Phase::RollingBack, Share::NONE, Cause::CandidateLeaving);
        }
    }

    /// The new version takes the clients.
    ///
    /// # Errors
    /// The share is not 100%, or nothing is under way.
    pub fn complete(&mut self, now: Micros) -> Result<Option<Action>, Rejection> {
        if self.phase == Phase::Complete {
            return Ok(None);
        }
        self.under_way()?;
        if self.share() != Share::ALL {
            return Err(Rejection(format!(
                "the share is {}%; step to 100% before it is completed",
                self.share().percent()
            )));
        }
        self.change(now, Phase::Complete, Share::ALL, Cause::Operator("complete"));
        Ok(Some(Action::Complete))
    }

    /// The holder was told to end. A candidate that was not taken back has the clients from now on.
    pub fn holder_ending(&mut self, now: Micros) -> Option<Action> {
        if !self.attached || !matches!(self.phase, Phase::Stepping | Phase::Held) {
            return None;
        }
        self.change(now, Phase::Complete, Share::ALL, Cause::HolderEnding);
        Some(Action::Complete)
    }

    fn under_way(&self) -> Result<(), Rejection> {
        match self.phase {
            Phase::Stepping | Phase::Held if self.attached => Ok(()),
            Phase::Complete => Err(Rejection("the rollout is complete".into())),
            _ => Err(Rejection("no rollout is under way".into())),
        }
    }

    /// Which version decides this call. A key comes with its class's window.
    pub fn decide(&mut self, now: Micros, key: Option<(&str, Micros)>, id: &str) -> Version {
        if self.passes_calls() {
            self.split.decide(now, key, id)
        } else {
            Version::Old
        }
    }

    /// A call has ended; see [`Gates::record_call`].
    pub fn record_call(
        &mut self,
        version: Version,
        class: &str,
        outcome: CallOutcome,
        took: Micros,
        aim: Micros,
    ) {
        if self.passes_calls() {
            self.gates.record_call(version, class, outcome, took, aim);
        }
    }

    /// Time has passed, and so many calls of the new version are open.
    pub fn tick(&mut self, now: Micros, open: usize) -> Option<Action> {
        if self.phase == Phase::RollingBack && open == 0 {
            self.change(now, Phase::RolledBack, Share::NONE, Cause::CandidateDrained);
        }
        if now - self.looked < LOOK && now >= self.looked {
            return None;
        }
        self.looked = now;
        if !self.attached || !matches!(self.phase, Phase::Stepping | Phase::Held) {
            return None;
        }
        self.gates.close_blocks();
        let (verdict, gate) = self.gates.verdict();
        let plan = self.plan.as_ref()?;
        if let (Verdict::Fails, Some(gate)) = (verdict, gate) {
            let cause = Cause::Gate(Box::new(gate));
            match plan.on_fail {
                OnFail::RollBack => self.change(now, Phase::RollingBack, Share::NONE, cause),
                OnFail::Hold if self.phase == Phase::Stepping => {
                    let share = self.share();
                    self.change(now, Phase::Held, share, cause);
                }
                OnFail::Hold => {}
            }
            return None;
        }
        let step = plan.steps.get(self.step)?;
        let done = now - self.since >= step.min_duration()
            && self.gates.candidate_calls() >= step.min_calls
            && verdict == Verdict::Passes;
        if self.phase != Phase::Stepping || !done {
            return None;
        }
        if self.step + 1 < plan.steps.len() {
            self.enter(now, self.step + 1, Cause::StepDone);
        } else if plan.completes_automatically {
            self.change(now, Phase::Complete, Share::ALL, Cause::PlanDone);
            return Some(Action::Complete);
        }
        None
    }
}
