//! Plays a scenario: starts the fleet, sends calls, does what the timeline says, and writes the history.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::history::{History, Saw, Turn};
use crate::load::Load;
use crate::ms;
use crate::relay::Faults;
use crate::rig::{there, version, Controls, Rig};
use crate::scenario::{Act, Change, Scenario, Which};
use crate::site::Model;
use crate::watch::Watch;

/// How often control addresses are asked.
const LOOK: Duration = Duration::from_millis(250);
/// How long a change may take to be answered.
const CHANGE: Duration = Duration::from_secs(30);
/// Entries of a list that one change brings: a control address takes bodies of 256 KiB.
const MOST_ENTRIES: usize = 8_000;
/// How often a part of a list is handed in at the most.
const TRIES: u32 = 50;
/// How often a change is handed in that was not agreed on while the lab, and so the activators, were not scheduled.
const TRIES_WHEN_HELD_UP: u32 = 3;
/// About as long as a voter's lease: an activator that was not scheduled for longer has none for a moment.
const LEASE: Duration = Duration::from_secs(1);
/// For how long they must not have been scheduled.
const HELD_UP_FOR_ANOTHER_TRY: Duration = Duration::from_millis(500);
/// How long a proposer may take to take a change up before it is killed all the same.
const TAKEN: Duration = Duration::from_secs(3);
/// Bytes of an answer that a history keeps.
const LONGEST_VIEW: usize = 2_000;

/// Where the program is: the path given, or beside this executable.
///
/// # Errors
/// When it is not there: where it was looked for, and how to build it.
pub fn program(given: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(path) = given {
        return match path.is_file() {
            true => Ok(path.to_path_buf()),
            false => Err(format!("--program: {} is no file", path.display())),
        };
    }
    let own = std::env::current_exe().map_err(|e| format!("where this program is can't be told: {e}"))?;
    // Tests lie in a folder below the programs'.
    let beside = own.ancestors().skip(1).take(2).map(|folder| folder.join("wheellink-node"));
    let looked: Vec<_> = beside.collect();
    let found = looked.iter().find(|path| path.is_file()).cloned();
    found.ok_or_else(|| {
        let at: Vec<_> = looked.iter().map(|p| p.display().to_string()).collect();
        format!(
            "no program at {}: `cargo build -p wheellink-node` builds it, or give --program",
            at.join(" or ")
        )
    })
}

/// The files that activators are started from.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The one that is being tried.
    pub this: PathBuf,
    /// One of an earlier time; without it the other one stands in for it.
    pub before: Option<PathBuf>,
}

impl Programs {
    /// These; the first is looked for beside this executable if it is not given.
    ///
    /// # Errors
    /// As [`program`].
    pub fn find(this: Option<&Path>, before: Option<&Path>) -> Result<Self, String> {
        let before = match before {
            Some(path) if !path.is_file() => return Err(format!("--before: {} is no file", path.display())),
            before => before.map(Path::to_path_buf),
        };
        Ok(Self { this: program(this)?, before })
    }

    /// The file of one of them.
    pub fn path(&self, which: Which) -> &Path {
        match which {
            Which::This => &self.this,
            Which::Before => self.before.as_deref().unwrap_or(&self.this),
        }
    }
}

/// Plays a scenario into a history at this path.
///
/// # Errors
/// When the fleet does not come up, or the history can't be written. What goes wrong later is in the history.
pub fn run(scenario: &Scenario, programs: &Programs, into: &Path) -> Result<(), String> {
    let wrong = |e: std::io::Error| format!("{}: {e}", into.display());
    let history = Arc::new(History::create(into).map_err(wrong)?);
    let mut rig = Rig::new(scenario, programs, history.clone())?;
    history.saw(Saw::Setup(Box::new(rig.setup())));
    rig.meet()?;
    let watch = Watch::start(&history);
    let looks = Looks::start(&rig);
    let load = Load::start(
        &scenario.calls,
        scenario.fleet.hosts,
        rig.fronts.clone(),
        scenario.seed,
        history.clone(),
    );
    let begun = Instant::now();
    let mut changes = Vec::new();
    for at in &scenario.at {
        sleep(Duration::from_secs_f64(at.s).saturating_sub(begun.elapsed()));
        if let Err(said) = act(&mut rig, &at.act, &mut changes) {
            history.saw(Saw::Trouble { said });
        }
    }
    sleep(Duration::from_secs_f64(scenario.seconds).saturating_sub(begun.elapsed()));
    load.end();
    for change in changes {
        let _ = change.join();
    }
    looks.end();
    watch.end();
    rig.look_for_crashes();
    for to in 0..rig.each.len() {
        history.saw(Saw::Tampered { to, tampered: rig.mesh.tampered(to) });
    }
    history.saw(Saw::End);
    drop(rig);
    history.flush().map_err(wrong)
}

fn link(rig: &Rig, from: usize, to: usize, faults: Faults) {
    // Written before it heals and after it is cut: at no time is there more than the history says.
    let before = rig.mesh.way(from, to).faults();
    if before == faults {
        return;
    }
    if !faults.is_cut() {
        rig.history.saw(Saw::Link { from, to, faults });
    }
    rig.mesh.set(from, to, faults);
    if faults.is_cut() {
        rig.history.saw(Saw::Link { from, to, faults });
    }
}

fn link_all(rig: &Rig, faults: Faults) {
    let n = rig.each.len();
    for (from, to) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        link(rig, from, to, faults);
    }
}

fn act(rig: &mut Rig, act: &Act, changes: &mut Vec<JoinHandle<()>>) -> Result<(), String> {
    let signal = |rig: &mut Rig, who: &[usize], turn| who.iter().for_each(|who| rig.signal(*who, turn));
    match act {
        Act::Phase(name) => rig.history.saw(Saw::Phase { name: name.clone() }),
        Act::Part(groups) => {
            for (i, group) in groups.iter().enumerate() {
                for other in groups.iter().enumerate().filter(|(j, _)| *j != i).flat_map(|(_, g)| g) {
                    group.iter().for_each(|one| link(rig, *one, *other, Faults::CUT));
                }
            }
        }
        Act::Cut(ways) => ways.iter().for_each(|(from, to)| link(rig, *from, *to, Faults::CUT)),
        Act::All(faults) => link_all(rig, *faults),
        Act::Heal => link_all(rig, Faults::default()),
        Act::Tamper { ways, how } => {
            let n = rig.each.len();
            let all = (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b);
            let ways = if ways.is_empty() { all.collect() } else { ways.clone() };
            for (from, to) in ways {
                rig.history.saw(Saw::Tamper { from, to, how: how.clone() });
                rig.mesh.way(from, to).set_tamper(how.clone());
            }
        }
        Act::Stop(who) => signal(rig, who, Turn::Stopped),
        Act::GoOn(who) => signal(rig, who, Turn::Continued),
        Act::Kill(who) => signal(rig, who, Turn::Killed),
        Act::End(who) => signal(rig, who, Turn::Told),
        Act::Restart(how) => rig.restart(how)?,
        Act::Start(who) => who.iter().try_for_each(|who| rig.start(*who))?,
        Act::Leave(who) => {
            for who in who {
                let answer = rig.controls.ask(*who, "POST", "/members/leave", b"", ms(2_000));
                if !matches!(answer, Some((200, _))) {
                    return Err(format!("activator {who} was to leave and said {answer:?}"));
                }
            }
        }
        Act::Change(change) => {
            let (controls, history, own) = (rig.controls.clone(), rig.history.clone(), change.clone());
            let (taken, hears) = channel();
            changes.push(spawn(move || propose(&controls, &history, &own, &taken)));
            if let Some(after) = change.then_kill_ms {
                // Counted from when it took the change up, not from when a busy machine came to ask it.
                let _ = hears.recv_timeout(TAKEN);
                sleep(ms(after));
                signal(rig, &[change.to], Turn::Killed);
            }
        }
        Act::StepClock(steps) => {
            for (who, seconds) in steps {
                rig.clocks[*who].set(*seconds);
                rig.history.saw(Saw::ClockStepped { who: *who, seconds: *seconds });
            }
        }
        Act::List { site, host, be } => rig.list(*site, *host, *be),
        Act::Lose(sites) | Act::Back(sites) => {
            let lost = matches!(act, Act::Lose(_));
            for site in sites {
                if lost {
                    rig.sites[*site].forget();
                }
                rig.pipes.iter().flat_map(|own| &own[*site]).for_each(|pipe| pipe.cut(lost));
                rig.history.saw(Saw::Site { site: *site, there: !lost });
            }
        }
        Act::Reset(sites) => {
            let of = |own: &[Vec<crate::relay::Pipe>]| {
                sites.iter().flat_map(|site| &own[*site]).for_each(crate::relay::Pipe::reset)
            };
            rig.pipes.iter().for_each(|own| of(own));
        }
        Act::Acceptance(chances) => rig.model.acceptance.lock().unwrap().clone_from(chances),
        Act::Forge { to, rounds } => *rig.model.forged.lock().unwrap() = Some((*to, *rounds)),
    }
    Ok(())
}

/// Hands a change to an activator, a long list in parts, one version after another.
fn propose(controls: &Controls, history: &History, change: &Change, taken_up: &Sender<()>) {
    let set: BTreeMap<String, Value> = change.set.iter().map(|(k, v)| (k.clone(), json!(v))).collect();
    // A voter is `voter/mN` to the lab and its checkers, and a number to the program.
    let numbered = |set: &BTreeMap<String, Value>| -> BTreeMap<String, Value> {
        set.iter().map(|(key, value)| (numbered(key), value.clone())).collect()
    };
    let drop: Vec<String> = change.drop.iter().map(|key| self::numbered(key)).collect();
    let Some((list, entries)) = &change.list else {
        let body = json!({"set": numbered(&set), "drop": drop});
        for _ in 0..TRIES_WHEN_HELD_UP {
            let since = history.now().saturating_sub(LEASE);
            let came = propose_one(controls, history, change, set.clone(), body.clone(), taken_up);
            let held_up = history.held_up_since(since);
            if came || change.then_kill_ms.is_some() || held_up < HELD_UP_FOR_ANOTHER_TRY {
                return;
            }
            sleep(LEASE);
        }
        return;
    };
    for from in (0..*entries).step_by(MOST_ENTRIES) {
        let part = from..(from + MOST_ENTRIES).min(*entries);
        let mut whole = numbered(&set);
        whole.extend(part.clone().map(|k| (format!("list/{list}/e{k:06}"), json!(true))));
        // One key stands for all of them.
        let mut told = set.clone();
        told.insert(format!("list/{list}/e{from:06}"), json!(part.len()));
        let body = json!({"set": whole, "drop": drop});
        // Another version may be on its way; then it is tried again.
        let came = |_| {
            let came = propose_one(controls, history, change, told.clone(), body.clone(), taken_up);
            if !came {
                sleep(ms(200));
            }
            came
        };
        if !(0..TRIES).any(came) {
            return;
        }
    }
}

/// The key as the program knows it: a name of a member is a number there.
fn numbered(key: &str) -> String {
    match key.strip_prefix("voter/") {
        Some(name) if name.starts_with('m') => {
            format!("voter/{}", siphasher::sip::SipHasher13::new().hash(name.as_bytes()) as u32)
        }
        _ => key.to_string(),
    }
}

/// Hands one change to an activator, based on the version that it knows: whether it came into force.
fn propose_one(
    controls: &Controls,
    history: &History,
    change: &Change,
    set: BTreeMap<String, Value>,
    mut body: Value,
    taken_up: &Sender<()>,
) -> bool {
    let view = controls.view(change.to, "/accord").unwrap_or_default();
    // What it knows of may be newer than what it obeys.
    let base = view["known"]["number"].as_u64().or_else(|| version(&view)).unwrap_or(0);
    body["base"] = json!(base);
    let answer = controls.ask(change.to, "POST", "/accord", body.to_string().as_bytes(), CHANGE);
    // Nobody listens where the proposer is not to be killed.
    let _ = taken_up.send(());
    let (status, mut said) = answer.unwrap_or_default();
    let taken: Value = serde_json::from_str(&said).unwrap_or_default();
    let mut became = None;
    if let (202, Some(id)) = (status, taken.get("id")) {
        let settled = settled(controls, change.to, id);
        became = settled.as_ref().and_then(|s| s["version"]["number"].as_u64());
        said = settled
            .map_or_else(|| "not settled: its proposer is gone or still at it".into(), |s| s.to_string());
    }
    let (said, dropped) = (cut(said), change.drop.clone());
    history.saw(Saw::Change { to: change.to, base, set, dropped, status, said, became });
    became.is_some()
}

/// What became of a change, as its proposer says; `None` if it does not say so in time.
fn settled(controls: &Controls, who: usize, id: &Value) -> Option<Value> {
    let begun = Instant::now();
    while begun.elapsed() < CHANGE && controls.runs(who) {
        let view = controls.view(who, "/accord").unwrap_or_default();
        let all = view["settled"].as_array().cloned().unwrap_or_default();
        if let Some(settled) = all.into_iter().find(|s| s["id"] == *id) {
            return Some(settled);
        }
        sleep(ms(50));
    }
    None
}

fn cut(mut said: String) -> String {
    let mut end = said.len().min(LONGEST_VIEW);
    while !said.is_char_boundary(end) {
        end -= 1;
    }
    said.truncate(end);
    said
}

/// Activators whose counts a view of `GET /drafts` leaves out, of any workload.
fn left_out(view: &Value) -> Vec<usize> {
    let workloads = view["learnt"]["workloads"].as_object().into_iter().flat_map(|w| w.values());
    let numbers = workloads.filter_map(|w| w["left_out"].as_object()).flat_map(|out| out.keys());
    let named = numbers.filter_map(|n| view["names"][n].as_str()?.strip_prefix('m')?.parse().ok());
    let all: std::collections::BTreeSet<usize> = named.collect();
    all.into_iter().collect()
}

/// What a view of `GET /turns` believes; sites are cells with the lab's numbers for names.
fn beliefs(who: usize, view: &Value) -> Option<Saw> {
    let site = |site: &Value| {
        Some((site["site"].as_str()?.to_string(), (site["there"].as_bool()?, site["load"].as_f64()?)))
    };
    let sites = view["sites"].as_array()?.iter().map(site).collect::<Option<_>>()?;
    Some(Saw::Beliefs { who, sites, bytes: view["bytes"].as_u64()? })
}

/// Looks at control addresses all the time.
struct Looks {
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Looks {
    fn start(rig: &Rig) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let served = Arc::new(Mutex::new(()));
        let look = |who: usize| {
            let (over, served) = (over.clone(), served.clone());
            let (controls, history, model) = (rig.controls.clone(), rig.history.clone(), rig.model.clone());
            spawn(move || {
                let mut last = BTreeMap::new();
                while !over.load(Relaxed) {
                    look(who, &controls, &history, &model, &served, &mut last);
                    sleep(LOOK);
                }
                // Once more, as it stands at the end.
                look(who, &controls, &history, &model, &served, &mut last);
            })
        };
        let mut threads: Vec<_> = (0..rig.each.len()).map(look).collect();
        let (mesh, history, stop) = (rig.mesh.clone(), rig.history.clone(), over.clone());
        let n = rig.each.len();
        threads.push(spawn(move || {
            while !stop.load(Relaxed) {
                for who in 0..n {
                    let (kinds, chunks) = mesh.told(who);
                    history.saw(Saw::Told { who, kinds, chunks });
                }
                sleep(LOOK);
            }
        }));
        Self { over, threads }
    }

    fn end(self) {
        self.over.store(true, Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn look(
    who: usize,
    controls: &Controls,
    history: &History,
    model: &Model,
    served: &Mutex<()>,
    last: &mut BTreeMap<&'static str, Value>,
) {
    let mut anew = |what: &'static str, of: Value| last.insert(what, of.clone()) != Some(of);
    if let Some(view) = controls.view(who, "/members") {
        let majority = view["majority"].as_bool().unwrap_or(false);
        if let Some(there) = there(who, &view).filter(|t| anew("members", json!([t, majority]))) {
            history.saw(Saw::Members { who, there, majority });
        }
    }
    for (of, path, figures) in [("accord", "/accord", "acting"), ("turns", "/turns", "emptied")] {
        if let Some(view) = controls.view(who, path) {
            if let Some(beliefs) = (of == "turns").then(|| beliefs(who, &view)).flatten() {
                history.saw(beliefs);
            }
            if anew(of, view[figures].clone()) {
                history.saw(Saw::View { who, of: of.into(), said: cut(view.to_string()) });
            }
        }
    }
    if let Some(view) = controls.view(who, "/drafts") {
        if let Some(workloads) = view["learnt"]["workloads"].as_object() {
            let rounds = workloads.values().filter_map(|w| w["rounds"].as_u64()).sum();
            // One at a time, so that what was served follows the sums that are held against it.
            let _one = served.lock().unwrap();
            history.saw(Saw::Sums { who, rounds });
            let drafted = *model.drafted.lock().unwrap();
            history.saw(Saw::Served { rounds: drafted.rounds });
        }
        let entries = view["table"].as_object().cloned().unwrap_or_default();
        let entries: BTreeMap<String, String> =
            entries.into_iter().filter_map(|(place, draft)| Some((place, draft.as_str()?.into()))).collect();
        if anew("table", json!(entries)) {
            history.saw(Saw::Table { who, entries });
        }
        let of = left_out(&view);
        if anew("left out", json!(of)) {
            history.saw(Saw::LeftOut { who, of });
        }
        let refused = (view["learnt"]["refused"].clone(), view["wanted"].clone());
        if anew("drafts", json!(refused)) {
            history.saw(Saw::View { who, of: "drafts".into(), said: cut(view.to_string()) });
        }
    }
}

#[cfg(test)]
mod tests;
