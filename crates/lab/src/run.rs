//! Plays a scenario: starts the fleet, sends calls, does what the timeline says, and writes the history.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::history::{History, Saw, Turn};
use crate::load::Load;
use crate::ms;
use crate::relay::Faults;
use crate::rig::{there, version, Controls, Rig};
use crate::scenario::{Act, Change, Scenario};
use crate::site::Model;

/// How often control addresses are asked.
const LOOK: Duration = Duration::from_millis(250);
/// How long a change may take to be answered.
const CHANGE: Duration = Duration::from_secs(30);
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

/// Plays a scenario into a history at this path.
///
/// # Errors
/// When the fleet does not come up, or the history can't be written. What goes wrong later is in the history.
pub fn run(scenario: &Scenario, program: &Path, into: &Path) -> Result<(), String> {
    let wrong = |e: std::io::Error| format!("{}: {e}", into.display());
    let history = Arc::new(History::create(into).map_err(wrong)?);
    let mut rig = Rig::new(scenario, program, history.clone())?;
    history.saw(Saw::Setup(rig.setup()));
    rig.meet()?;
    let looks = Looks::start(&rig);
    let load = Load::start(&scenario.calls, rig.fronts.clone(), scenario.seed, history.clone());
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
        Act::Stop(who) => signal(rig, who, Turn::Stopped),
        Act::GoOn(who) => signal(rig, who, Turn::Continued),
        Act::Kill(who) => signal(rig, who, Turn::Killed),
        Act::End(who) => signal(rig, who, Turn::Told),
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
            changes.push(spawn(move || propose(&controls, &history, &own)));
            if let Some(after) = change.then_kill_ms {
                sleep(ms(after));
                signal(rig, &[change.to], Turn::Killed);
            }
        }
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

/// Hands a change to an activator, based on the version that it obeys.
fn propose(controls: &Controls, history: &History, change: &Change) {
    let mut set: BTreeMap<String, Value> = BTreeMap::new();
    for (key, value) in &change.set {
        set.insert(key.clone(), json!(value));
    }
    let view = controls.view(change.to, "/accord").unwrap_or_default();
    let base = version(&view).unwrap_or(0);
    let mut whole = set.clone();
    if let Some((list, entries)) = &change.list {
        whole.extend((0..*entries).map(|k| (format!("list/{list}/e{k:06}"), json!(true))));
        // One key stands for all of them.
        set.insert(format!("list/{list}/e"), json!(entries));
    }
    let body = json!({"base": base, "set": whole, "drop": change.drop}).to_string();
    let answer = controls.ask(change.to, "POST", "/accord", body.as_bytes(), CHANGE);
    let (status, said) = answer.unwrap_or_default();
    let view: Value = serde_json::from_str(&said).unwrap_or_default();
    let number = |v: &Value| v.as_u64().or_else(|| v["number"].as_u64());
    let became = (status == 200).then(|| number(&view["version"])).flatten();
    let said = cut(said);
    let dropped = change.drop.clone();
    history.saw(Saw::Change { to: change.to, base, set, dropped, status, said, became });
}

fn cut(mut said: String) -> String {
    let mut end = said.len().min(LONGEST_VIEW);
    while !said.is_char_boundary(end) {
        end -= 1;
    }
    said.truncate(end);
    said
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
        let threads = (0..rig.each.len()).map(look).collect();
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
    for (of, path, figures) in [("accord", "/accord", "acting"), ("turns", "/turns", "sites")] {
        if let Some(view) = controls.view(who, path) {
            if anew(of, view[figures].clone()) {
                history.saw(Saw::View { who, of: of.into(), said: cut(view.to_string()) });
            }
        }
    }
    if let Some(view) = controls.view(who, "/drafts") {
        let sums = (view["rounds"].as_u64(), view["tokens"].as_u64());
        if let (Some(rounds), Some(tokens)) = sums {
            // One at a time, so that what was served follows the sums that are held against it.
            let _one = served.lock().unwrap();
            history.saw(Saw::Sums { who, rounds, tokens });
            let drafted = *model.drafted.lock().unwrap();
            history.saw(Saw::Served { rounds: drafted.rounds, tokens: drafted.tokens });
        }
        if anew("drafts", view["in_force"].clone()) {
            history.saw(Saw::View { who, of: "drafts".into(), said: cut(view.to_string()) });
        }
    }
}
