//! What a scenario runs on: processes, relays between them, sites behind relays, and resolvers that tell of those.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::bus::config_of;
use crate::history::{History, Obeys, Saw, Setup, Terms, Turn};
use crate::list::{Be, By, Host, List};
use crate::load::{Fronts, CLASSES};
use crate::ms;
use crate::program::{Program, Send, Start};
use crate::relay::{Mesh, Pipe};
use crate::run::Programs;
use crate::scenario::{Restart, Scenario, Which};
use crate::site::{source, Model, Site};
use crate::wall_clock::WallClock;

/// How long a fleet may take to meet. A busy machine with nine of a debug build takes some 10 s.
const MEET: Duration = Duration::from_secs(60);
/// How long a process that is told to end may take.
const END: Duration = Duration::from_secs(20);
/// How long a process may take to say what it obeys once it is let go, and how far two logs are read apart.
const GRACE_US: u64 = 300_000;

/// What is wanted of a control address.
pub(crate) struct Controls(Vec<Mutex<Option<SocketAddr>>>);

impl Controls {
    /// An operator's call to an activator; `None` if there is no answer in that time.
    pub(crate) fn ask(
        &self,
        who: usize,
        method: &str,
        path: &str,
        body: &[u8],
        within: Duration,
    ) -> Option<(u16, String)> {
        let address = (*self.0[who].lock().unwrap())?;
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(within))
            .max_idle_connections(0)
            .proxy(None)
            .build();
        let agent: ureq::Agent = config.into();
        let url = format!("http://{address}{path}");
        let answer = if method == "GET" { agent.get(&url).call() } else { agent.post(&url).send(body) };
        let mut answer = answer.ok()?;
        let said = answer.body_mut().read_to_string().ok()?;
        Some((answer.status().as_u16(), said))
    }

    /// Whether there is such a process, stopped or not.
    pub(crate) fn runs(&self, who: usize) -> bool {
        self.0[who].lock().unwrap().is_some()
    }

    /// What an activator says at a path, if it says 200 within half a second.
    pub(crate) fn view(&self, who: usize, path: &str) -> Option<Value> {
        let (status, said) = self.ask(who, "GET", path, b"", ms(500))?;
        if status != 200 {
            return None;
        }
        serde_json::from_str(&said).ok()
    }
}

pub(crate) struct Rig {
    pub(crate) scenario: Scenario,
    programs: Programs,
    /// The program that each runs, or is to be started from.
    runs: Vec<Which>,
    pub(crate) history: Arc<History>,
    pub(crate) mesh: Arc<Mesh>,
    at: Vec<SocketAddr>,
    /// Where each serves, from its first start on.
    listens: Vec<Option<SocketAddr>>,
    pub(crate) sites: Vec<Site>,
    /// By activator, site and host.
    pub(crate) pipes: Vec<Vec<Vec<Pipe>>>,
    lists: Vec<List>,
    /// By activator; none where no clock is stepped.
    pub(crate) clocks: Vec<WallClock>,
    pub(crate) model: Arc<Model>,
    pub(crate) each: Vec<Option<Program>>,
    pub(crate) fronts: Fronts,
    pub(crate) controls: Arc<Controls>,
}

impl Rig {
    pub(crate) fn new(
        scenario: &Scenario,
        programs: &Programs,
        history: Arc<History>,
    ) -> Result<Self, String> {
        let n = scenario.fleet.activators;
        let failed = |e: std::io::Error| format!("no socket: {e}");
        let held: Vec<_> = (0..n)
            .map(|who| UdpSocket::bind((own_address(who), 0)))
            .collect::<Result<_, _>>()
            .map_err(failed)?;
        let at: Vec<_> = held.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>().map_err(failed)?;
        drop(held);
        let mesh = Arc::new(Mesh::new(&at, scenario.seed).map_err(failed)?);
        let model = Arc::new(Model::new(&scenario.sites.acceptance, scenario.seed ^ 0x5175));
        let window = ms(scenario.calls.window_ms);
        let site =
            |k| Site::start(k, &scenario.sites, window, model.clone(), history.clone()).map_err(failed);
        let sites: Vec<Site> = (0..scenario.sites.count).map(site).collect::<Result<_, _>>()?;
        let (mut pipes, mut lists) = (Vec::new(), Vec::new());
        for who in 0..n {
            let (mut own, mut told) = (Vec::new(), Vec::new());
            for (k, site) in sites.iter().enumerate() {
                let to = |host: &SocketAddr| Pipe::new(*host, source(who)).map_err(failed);
                let hosts: Vec<Pipe> = site.hosts.iter().map(to).collect::<Result<_, _>>()?;
                for (h, pipe) in hosts.iter().enumerate() {
                    told.push(Host { site: k, host: h, life: 0, be: Be::Up, address: pipe.address });
                }
                own.push(hosts);
            }
            pipes.push(own);
            lists.push(List::start(scenario.fleet.hosts, told).map_err(failed)?);
        }
        let stepped = if scenario.steps_clocks() { n } else { 0 };
        let clocks = (0..stepped).map(|_| WallClock::offset_by(0.0)).collect();
        let none = || (0..n).map(|_| Mutex::new(None)).collect::<Vec<_>>();
        Ok(Self {
            scenario: scenario.clone(),
            programs: programs.clone(),
            runs: (0..n).map(|who| scenario.fleet.program(who)).collect(),
            history,
            mesh,
            at,
            listens: vec![None; n],
            sites,
            pipes,
            lists,
            clocks,
            model,
            each: (0..n).map(|_| None).collect(),
            fronts: Arc::new(none()),
            controls: Arc::new(Controls(none())),
        })
    }

    /// What the checkers are to know.
    pub(crate) fn setup(&self) -> Setup {
        let terms = |effect: &str| Terms { effect: effect.into(), window_ms: self.scenario.calls.window_ms };
        let effects = ["safe", "keyed", "unsafe"];
        Setup {
            scenario: self.scenario.name.clone(),
            seed: self.scenario.seed,
            activators: self.each.len(),
            voters: self.scenario.accord.as_ref().map_or(0, |a| a.voters),
            bound_us: self.scenario.accord.as_ref().map_or(0, |a| a.bound_us()),
            grace_us: GRACE_US,
            classes: CLASSES.iter().zip(effects).map(|(name, e)| (name.to_string(), terms(e))).collect(),
            sites: self.sites.len(),
            two_programs: self.programs.before.is_some(),
            pace: self.scenario.accord.as_ref().map_or((0, 0), |accord| {
                let us = accord.number("period_ms", 500) as u64 * 1_000;
                (accord.number("pace_bytes", 120_000) as u64, us)
            }),
            list_grace_us: self.scenario.fleet.hosts.grace().as_micros() as u64,
            told_most: Some(self.scenario.told_most()),
            hold: self.scenario.hold.clone(),
        }
    }

    /// An activator's file.
    pub(crate) fn file(&self, who: usize) -> String {
        let n = self.each.len();
        let listen = self.listens[who].unwrap_or(SocketAddr::from((own_address(who), 0)));
        if self.scenario.fleet.hosts == By::Bus {
            let list = &self.lists[who];
            let text = config_of(&format!("n{who}"), &listen.to_string(), list.address(), &list.members());
            let window_us = 1_000 * self.scenario.calls.window_ms;
            return text.replace("\"WindowUs\":8000000", &format!("\"WindowUs\":{window_us}"));
        }
        let mut text = format!(
            "listen = \"{}\"\ncontrol = \"127.0.0.1:0\"\nsockets = 1024\nmemory_mb = 192\n\n[hosts]\nresolver = \"{}\"\n\
             service = \"_script-host._tcp.hosts.test.\"\nactivators = {n}\non_miss = \"miss\"\nkeep_ms = 9500\n\
             max_attempts = 5\nretry_after_ms = 1000\ncold_from = 0.17\ncold_ms = 18000\nfall_multiple = 4.0\n\
             fall_ms = 3000\norders = {{ free = 2.0, share = 0.2, period_ms = 10000 }}\n\n",
            listen,
            self.lists[who].address()
        );
        let effects = [
            "effect = \"safe\"\naim_ms = 2000\ngive_up_ms = 5000",
            &format!(
                "effect = \"keyed\"\nscope = \"cell\"\nwindow_ms = {}\naim_ms = 1500\ngive_up_ms = 4000",
                self.scenario.calls.window_ms
            ),
            "effect = \"unsafe\"\naim_ms = 1500\ngive_up_ms = 4000",
        ];
        for (name, effect) in CLASSES.iter().zip(effects) {
            text += &format!(
                "[[class]]\nname = \"{name}\"\n{effect}\nworth = 3.0\nlate_worth = 0.2\nlanes = 16\n\n"
            );
        }
        let period = self.scenario.fleet.period_ms;
        text +=
            &format!("[members]\nname = \"m{who}\"\nlisten = \"{}\"\nperiod_ms = {period}\n", self.at[who]);
        for other in (0..n).filter(|other| *other != who) {
            let near = self.mesh.near(who, other);
            text += &format!("[[members.other]]\nname = \"m{other}\"\naddress = \"{near}\"\n");
        }
        if !self.scenario.fleet.before.contains(&who) {
            if let Some(accord) = &self.scenario.accord {
                text += &accord.table();
            }
            text += &self.scenario.fleet.tables;
        }
        text
    }

    fn life(&self, who: usize, turn: Turn) {
        self.history.saw(Saw::Life { who, turn });
    }

    /// Starts an activator from nothing.
    pub(crate) fn start(&mut self, who: usize) -> Result<(), String> {
        let text = self.file(who);
        let history = self.history.clone();
        let n = self.each.len();
        let tap = move |line: &str| {
            if let Some(saw) = read_line(who, n, line) {
                history.saw(saw);
            }
        };
        self.mesh.new_life(who);
        let operator = self.scenario.fleet.hosts == By::Dns;
        // Before its first line can come: what it obeys belongs to this life.
        self.history.saw(Saw::Runs { who, program: self.runs[who] });
        self.life(who, Turn::Started);
        let mut start = Start::new(self.programs.path(self.runs[who]), &text, operator).tap(Box::new(tap));
        if let Some(clock) = self.clocks.get(who) {
            start = start.wall_clock(clock);
        }
        let started = start.run();
        let program = started.map_err(|said| format!("activator {who}: {said}"))?;
        self.listens[who] = Some(program.address);
        *self.controls.0[who].lock().unwrap() = program.control();
        *self.fronts[who].lock().unwrap() = Some(program.address);
        self.each[who] = Some(program);
        Ok(())
    }

    /// Starts all and waits until each knows hosts and all others.
    pub(crate) fn meet(&mut self) -> Result<(), String> {
        (0..self.each.len()).try_for_each(|who| self.start(who))?;
        let begun = Instant::now();
        for who in 0..self.each.len() {
            while !self.ready(who) {
                if begun.elapsed() > MEET {
                    return Err(format!("activator {who} did not come to know hosts and the others"));
                }
                std::thread::sleep(ms(20));
            }
        }
        Ok(())
    }

    /// Tells all activators of a host.
    pub(crate) fn list(&mut self, site: usize, host: usize, be: Be) {
        self.lists.iter_mut().for_each(|list| list.change(site, host, be));
        // Told after: nobody knew it before it was written, nor is held to it before it could know.
        self.history.saw(Saw::Listed { site, host, be });
    }

    fn ready(&self, who: usize) -> bool {
        if self.scenario.fleet.hosts == By::Bus {
            // It knows the hosts of its configuration from the start.
            return self.controls.view(who, "/status").is_some();
        }
        let front = *self.fronts[who].lock().unwrap();
        let healthy = front.is_some_and(|front| {
            let config = ureq::Agent::config_builder().timeout_global(Some(ms(500))).proxy(None).build();
            let agent: ureq::Agent = config.into();
            agent.get(format!("http://{front}/healthz")).call().is_ok()
        });
        let met = self.controls.view(who, "/members").and_then(|view| there(who, &view));
        let agreed = self.scenario.accord.is_none()
            || self.scenario.fleet.before.contains(&who)
            || self.controls.view(who, "/accord").is_some_and(|view| version(&view).is_some());
        healthy && agreed && met.is_some_and(|there| there.len() == self.each.len())
    }

    /// Tells of processes that ended by themselves.
    pub(crate) fn look_for_crashes(&mut self) {
        (0..self.each.len()).for_each(|who| self.look_for_crash(who));
    }

    fn look_for_crash(&mut self, who: usize) {
        if let Some(status) = self.each[who].as_mut().and_then(Program::has_ended) {
            self.crashed(who, &format!("it ended by itself: {status}"));
            self.gone(who);
            self.each[who] = None;
            self.life(who, Turn::Ended);
        }
    }

    fn crashed(&self, who: usize, said: &str) {
        let lines = self.each[who].as_ref().map(Program::lines).unwrap_or_default();
        let last = lines[lines.len().saturating_sub(5)..].join("; ");
        self.history.saw(Saw::Crashed { who, said: format!("{said}; it said: {last}") });
    }

    /// Ends these, and starts each again at its address as soon as it has.
    pub(crate) fn restart(&mut self, restart: &Restart) -> Result<(), String> {
        let mut ending: Vec<usize> = restart.who.clone();
        for who in &restart.who {
            self.look_for_crash(*who);
            if restart.kill {
                self.signal(*who, Turn::Killed);
            } else {
                self.life(*who, Turn::Told);
                self.gone(*who);
                if let Some(program) = &self.each[*who] {
                    program.signal(Send::Terminate);
                }
            }
        }
        let begun = Instant::now();
        while !ending.is_empty() {
            for who in std::mem::take(&mut ending) {
                if self.each[who].is_some() && !self.has_ended_as_told(who) {
                    if begun.elapsed() > END {
                        return Err(format!("activator {who} did not end within {END:?} of being told"));
                    }
                    ending.push(who);
                    continue;
                }
                if self.each[who].take().is_some() {
                    self.life(who, Turn::Ended);
                }
                self.runs[who] = restart.program.unwrap_or(self.runs[who]);
                self.start(who)?;
            }
            std::thread::sleep(ms(2));
        }
        Ok(())
    }

    /// Whether one that was told to end has. It tells of one that ended otherwise than it should.
    fn has_ended_as_told(&mut self, who: usize) -> bool {
        let Some(status) = self.each[who].as_mut().and_then(Program::has_ended) else { return false };
        if !status.success() {
            self.crashed(who, &format!("it was told to end, and ended with {status}"));
        }
        true
    }

    pub(crate) fn signal(&mut self, who: usize, turn: Turn) {
        self.look_for_crash(who);
        let Some(program) = &mut self.each[who] else { return };
        match turn {
            Turn::Stopped => {
                program.stop(true);
                self.life(who, turn);
            }
            Turn::Continued => {
                // Told first: what it says from then on, it says as one that was let go.
                self.life(who, turn);
                if let Some(program) = &self.each[who] {
                    program.stop(false);
                }
            }
            Turn::Killed => {
                self.gone(who);
                self.life(who, turn);
                self.each[who] = None;
                self.life(who, Turn::Ended);
            }
            Turn::Told => {
                self.life(who, turn);
                self.gone(who);
                if let Some(program) = &mut self.each[who] {
                    program.signal(Send::Terminate);
                    if program.ended_within(END).is_none() {
                        let said = format!("activator {who} did not end within {END:?} of being told");
                        self.history.saw(Saw::Trouble { said });
                    }
                    self.has_ended_as_told(who);
                }
                self.each[who] = None;
                self.life(who, Turn::Ended);
            }
            Turn::Started | Turn::Ended => {}
        }
    }

    /// No new call is sent there.
    fn gone(&self, who: usize) {
        *self.fronts[who].lock().unwrap() = None;
        *self.controls.0[who].lock().unwrap() = None;
    }
}

/// An address of loopback that is an activator's of this run alone, so that nobody else takes its port between two of its
/// lives: neither a connection, which comes from another address, nor another run.
fn own_address(who: usize) -> Ipv4Addr {
    let run = std::process::id();
    Ipv4Addr::new(127, 100 + (run / 250 % 100) as u8, 1 + (run % 250) as u8, 1 + who as u8)
}

/// Those whom a view of `GET /members` holds for there, the one who says so among them.
pub(crate) fn there(who: usize, view: &Value) -> Option<Vec<usize>> {
    let mut there = vec![who];
    for member in view["members"].as_array()? {
        let state = member["state"].as_str()?;
        if state == "alive" || state == "suspect" {
            there.push(member["name"].as_str()?.strip_prefix('m')?.parse().ok()?);
        }
    }
    there.sort_unstable();
    Some(there)
}

/// The newest version that a view of `GET /accord` says to be obeyed.
pub(crate) fn version(view: &Value) -> Option<u64> {
    let acting = &view["acting"];
    let number = |v: &Value| v.as_u64().or_else(|| v["number"].as_u64());
    ["version", "new", "number"].iter().find_map(|key| number(&acting[*key]))
}

/// What a line of the log shows, if anything. `number` activators have names `m0`, `m1` and so on.
fn read_line(who: usize, number: usize, line: &str) -> Option<Saw> {
    if line.contains("panicked at") {
        return Some(Saw::Crashed { who, said: line.to_string() });
    }
    let text = line.split_once(' ').map_or(line, |(_, text)| text);
    if let Some(rest) = text.strip_prefix("accord: acts on ") {
        let words: Vec<&str> = rest.split([' ', ',', ':']).collect();
        let obeys = match words[..] {
            ["the", "floor", "of", n, ..] => Obeys::Floor(n.parse().ok()?),
            ["the", "floor", ..] => Obeys::Floor(0),
            ["both", old, "and", new, ..] => Obeys::Both(old.parse().ok()?, new.parse().ok()?),
            [n, digest, ..] => Obeys::One(n.parse().ok()?, digest.to_string()),
            _ => return None,
        };
        return Some(Saw::Acts { who, obeys });
    }
    let gone = text.strip_prefix("activator m").and_then(|rest| rest.split_once(" is gone"));
    if let Some(of) = gone.and_then(|(of, _)| of.parse().ok()).filter(|of| *of < number) {
        return Some(Saw::Gone { who, of });
    }
    let explains_a_call = text.starts_with("request ") || text.starts_with("conn ");
    explains_a_call.then(|| Saw::Logged { who, said: text.to_string() })
}

#[cfg(test)]
mod tests;
