//! Turns of conversations are routed to the site that holds their prefix. Activators run as processes, with sites whose block
//! caches evict and with network faults between the activators. Each call has one answer and runs once under every fault.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep, spawn};
use std::time::Instant;

use common::stand_in::stand_in;
use common::*;
use rstest::rstest;
use serde_json::Value;

/// A block cache of a site with LRU eviction, and the calls of the site.
struct Cache {
    max_blocks: usize,
    /// Number of block uses so far, the clock of the eviction.
    uses: u64,
    /// The cached blocks, with the value of `uses` at their last use.
    blocks: HashMap<String, u64>,
    /// How often each body ran.
    runs: BTreeMap<String, u32>,
    /// Request lines of the calls.
    lines: Vec<String>,
    /// For each turn with a prefix: its conversation, when it came, and how many blocks were missing and computed anew.
    missed: Vec<(u64, Instant, usize)>,
}

impl Cache {
    /// Records a call. Returns the number of blocks found in the cache, or `None` if the call names no blocks.
    fn serve(&mut self, line: &str, body: &str) -> Option<usize> {
        self.lines.push(line.to_string());
        *self.runs.entry(body.to_string()).or_default() += 1;
        let fields = line.split(' ').nth(2).unwrap().split(',');
        let hashes = fields.filter_map(|f| f.strip_prefix("blocks=")).next()?;
        let blocks: Vec<&str> = hashes.split(';').filter(|b| !b.is_empty()).collect();
        let found = blocks.iter().take_while(|b| self.blocks.contains_key(**b)).count();
        if let Some(first) = blocks.first() {
            let number = u64::from_str_radix(first, 16).unwrap() >> 32;
            self.missed.push((number, Instant::now(), blocks.len() - found));
        }
        // The body ends with the hashes of the blocks that the turn adds.
        for block in blocks.into_iter().chain(body.rsplit(' ').next().unwrap().split(',')) {
            self.uses += 1;
            self.blocks.insert(block.to_string(), self.uses);
        }
        while self.blocks.len() > self.max_blocks {
            let oldest = self.blocks.iter().min_by_key(|(_, at)| **at).map(|(b, _)| b.clone()).unwrap();
            self.blocks.remove(&oldest);
        }
        Some(found)
    }
}

/// A host that is a site of its own.
struct Site {
    address: SocketAddr,
    cache: Arc<Mutex<Cache>>,
}

impl Site {
    fn start(max_blocks: usize) -> Self {
        let cache = Cache {
            max_blocks,
            uses: 0,
            blocks: HashMap::new(),
            runs: BTreeMap::new(),
            lines: Vec::new(),
            missed: Vec::new(),
        };
        let cache = Arc::new(Mutex::new(cache));
        let shared = cache.clone();
        let address = stand_in(Arc::new(move |line, body| {
            let found = shared.lock().unwrap().serve(line, body);
            // Calls whose body begins with `busy` occupy a lane for 120 ms.
            sleep(ms(if body.starts_with("busy") { 120 } else { 1 }));
            found.map_or(String::new(), |n| format!(",found={n}"))
        }));
        Self { address, cache }
    }

    fn calls(&self) -> usize {
        self.cache.lock().unwrap().lines.len()
    }
}

/// A relay for datagrams between two activators, which drops them while it is cut.
struct Link {
    addr: SocketAddr,
    cut: Arc<AtomicBool>,
    /// Ends the thread of the relay.
    stopped: Arc<AtomicBool>,
}

/// Activators with their sites, and the relays between the activators.
struct Fleet {
    programs: Vec<Option<Program>>,
    links: BTreeMap<(usize, usize), Link>,
    sites: Vec<Site>,
    resolver: Resolver,
    files: Vec<String>,
}

const TURNS: &str =
    "[turns]\nsite = \"cell\"\nblock_us = 1000\nresident = true\nperiod_ms = 50\nbound = 2.0\n";

impl Fleet {
    /// Starts `n` activators, and sites whose caches hold `max_blocks`.
    fn start(n: usize, sites: usize, max_blocks: usize) -> Self {
        Self::start_with(n, sites, max_blocks, TURNS)
    }

    fn start_with(n: usize, sites: usize, max_blocks: usize, turns: &str) -> Self {
        let sites: Vec<Site> = (0..sites).map(|_| Site::start(max_blocks)).collect();
        let resolver = Resolver::start(&[]);
        let sockets: Vec<_> = (0..n).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let addrs: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
        // The activator `a` sends datagrams for `b` to relays[(b, a)], and they reach `b` from relays[(a, b)].
        let pairs = (0..n).flat_map(|a| (0..n).filter(move |b| *b != a).map(move |b| (a, b)));
        let relays: BTreeMap<(usize, usize), UdpSocket> =
            pairs.map(|pair| (pair, UdpSocket::bind("127.0.0.1:0").unwrap())).collect();
        drop(sockets);
        let mut links = BTreeMap::new();
        for ((a, b), socket) in &relays {
            // The address at which `b` reaches `a`.
            let link = Link {
                addr: socket.local_addr().unwrap(),
                cut: Arc::new(AtomicBool::new(false)),
                stopped: Arc::new(AtomicBool::new(false)),
            };
            let (from, to, target) =
                (socket.try_clone().unwrap(), relays[&(*b, *a)].try_clone().unwrap(), addrs[*a]);
            let (cut, stopped) = (link.cut.clone(), link.stopped.clone());
            from.set_read_timeout(Some(ms(50))).unwrap();
            spawn(move || {
                let mut buf = [0; 1_500];
                while !stopped.load(Relaxed) {
                    if let (Ok((n, _)), false) = (from.recv_from(&mut buf), cut.load(Relaxed)) {
                        let _ = to.send_to(&buf[..n], target);
                    }
                }
            });
            links.insert((*a, *b), link);
        }
        let file = |i: usize| {
            let others: String = (0..n)
                .filter(|j| *j != i)
                .map(|j| {
                    format!("[[members.other]]\nname = \"m{j}\"\naddress = \"{}\"\n", links[&(j, i)].addr)
                })
                .collect();
            let members =
                format!("[members]\nname = \"m{i}\"\nlisten = \"{}\"\nperiod_ms = 100\n{others}", addrs[i]);
            format!("{}\n{members}{turns}", operator_file(resolver.address))
        };
        let files: Vec<String> = (0..n).map(file).collect();
        let mut fleet = Self { programs: Vec::new(), links, sites, resolver, files };
        (0..fleet.sites.len()).for_each(|i| fleet.set_listed(i, true));
        for i in 0..n {
            fleet.programs.push(Some(Program::start(&fleet.files[i], true)));
        }
        (0..n).for_each(|i| fleet.wait_sites(i, fleet.sites.len()));
        fleet
    }

    fn program(&self, i: usize) -> &Program {
        self.programs[i].as_ref().expect("it runs")
    }

    /// Adds a site to the zone of the resolver, or removes it.
    fn set_listed(&self, site: usize, listed: bool) {
        let mut zone = self.resolver.zone.lock().unwrap();
        let name = format!("h{site}");
        zone.instances.retain(|(n, ..)| *n != name);
        if listed {
            zone.instances.push((name, self.sites[site].address.port(), vec![format!("cell={site}")]));
        }
    }

    fn view(&self, i: usize) -> Value {
        let (status, view) = self.program(i).ask("GET", "/turns", "");
        assert_eq!(status, 200);
        view
    }

    /// Waits until an activator knows this number of sites.
    fn wait_sites(&self, i: usize, sites: usize) {
        wait_for("the sites", || {
            let view = self.view(i);
            let all = view["sites"].as_array().unwrap();
            all.iter().filter(|s| s["there"] == true).count() == sites
        });
    }

    /// Waits until each of these activators has received new messages from each other one.
    fn wait_exchange(&self, each: &[usize]) {
        let heard = |i: &usize| self.view(*i)["told"]["heard"].as_u64().unwrap();
        let before: Vec<u64> = each.iter().map(heard).collect();
        let wanted = 2 * (each.len() as u64 - 1);
        wait_for("messages of the others", || {
            each.iter().zip(&before).all(|(i, before)| heard(i) >= before + wanted)
        });
    }

    fn cut(&self, cut: bool) {
        self.links.values().for_each(|l| l.cut.store(cut, Relaxed));
    }

    /// Checks that each answered call ran once on all sites together, and that no other call ran.
    fn check_ran_once(&self, conversations: &[Conversation]) {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for site in &self.sites {
            for (body, n) in &site.cache.lock().unwrap().runs {
                *runs.entry(body.clone()).or_default() += n;
            }
        }
        let answered: Vec<&String> = conversations.iter().flat_map(|t| &t.answered).collect();
        assert!(answered.iter().all(|body| runs[*body] == 1), "a call ran twice");
        assert_eq!(answered.len(), runs.len(), "a run without an answer");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.links.values().for_each(|l| l.stopped.store(true, Relaxed));
    }
}

/// The state of a conversation at its client.
struct Conversation {
    number: u64,
    prefix: Vec<String>,
    answered: Vec<String>,
}

impl Conversation {
    /// New conversations with the numbers 1 to `n`.
    fn several(n: u64) -> Vec<Self> {
        (1..=n).map(|number| Self { number, prefix: Vec::new(), answered: Vec::new() }).collect()
    }

    /// Sends a turn that adds two blocks. Returns the number of blocks of its prefix, and of those that the site found.
    fn turn(&mut self, at: &Program) -> (usize, usize) {
        self.try_turn(at).expect("it is served")
    }

    /// Like `turn`, but returns `None` if the turn is refused.
    fn try_turn(&mut self, at: &Program) -> Option<(usize, usize)> {
        let n = self.answered.len();
        let new: Vec<String> =
            (0..2).map(|i| format!("{:x}", self.number << 32 | (2 * n + i + 1) as u64)).collect();
        let body = format!("talk {} turn {n} {}", self.number, new.join(","));
        let header = format!("Wheellink-Turn: {:x};2;{}", self.number, self.prefix.join(","));
        let reply = at.http(&call("chat", "check-score", &[&header], &body));
        if reply.status == 503 {
            return None;
        }
        assert_eq!((reply.status, String::from_utf8(reply.body.clone()).unwrap()), (200, body.clone()));
        let found: usize = reply.header("wheellink-found").expect("a count").parse().unwrap();
        let asked = self.prefix.len();
        assert!(found <= asked);
        self.prefix.extend(new);
        self.answered.push(body);
        Some((asked, found))
    }
}

/// Sends a turn of each conversation to the activator that `at` chooses for it. Returns the share of blocks found.
fn share(conversations: &mut [Conversation], at: impl Fn(usize) -> usize, fleet: &Fleet) -> f64 {
    let each = conversations.iter_mut().enumerate().map(|(i, t)| t.turn(fleet.program(at(i))));
    let (asked, found) = each.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    found as f64 / asked.max(1) as f64
}

#[test]
fn conversations_stay_where_their_prefix_is_and_are_spread_over_sites() {
    let fleet = Fleet::start(1, 3, 10_000);
    let mut conversations = Conversation::several(24);
    for turn in 0..6 {
        let found = share(&mut conversations, |_| 0, &fleet);
        assert!(turn == 0 || found > 0.8, "{found} of turn {turn}");
    }
    let calls: Vec<usize> = fleet.sites.iter().map(Site::calls).collect();
    assert!(calls.iter().all(|n| (20..=90).contains(n)), "{calls:?} of 144");
    fleet.check_ran_once(&conversations);
    let view = fleet.view(0);
    assert!(
        view["placed"]["held"].as_u64() > Some(90) && view["conversations"].as_u64() >= Some(24),
        "{view}"
    );
    assert_eq!(view["open"], 0);
    let line = fleet.sites[0].cache.lock().unwrap().lines.last().unwrap().clone();
    assert!(line.contains(",blocks="), "{line}");
}

/// The caches of the sites are too small for all prefixes. Their size is estimated from the blocks that they find.
#[test]
fn eviction_at_a_site_is_learnt_from_its_answers() {
    let fleet = Fleet::start(1, 2, 24);
    let mut conversations = Conversation::several(16);
    for _ in 0..16 {
        share(&mut conversations, |_| 0, &fleet);
    }
    let view = fleet.view(0);
    let keeps = view["sites"].as_array().unwrap().iter().map(|s| s["keeps_blocks"].as_u64().unwrap());
    assert!(keeps.clone().all(|k| k < 100_000), "{view}");
    assert!(view["misses"].as_u64() > Some(3), "{view}");
    fleet.check_ran_once(&conversations);
}

#[test]
fn activators_share_prefix_locations_across_a_partition_and_a_restart() {
    let mut fleet = Fleet::start(3, 3, 10_000);
    let mut conversations = Conversation::several(12);
    for turn in 0..4 {
        let found = share(&mut conversations, |i| (i + turn) % 3, &fleet);
        assert!(turn == 0 || found > 0.8, "{found} of turn {turn}, each at another activator");
        fleet.wait_exchange(&[0, 1, 2]);
    }
    fleet.cut(true);
    for turn in 0..4 {
        // A wrong belief about a prefix costs a cache miss, but no call.
        share(&mut conversations, |i| (i + turn) % 3, &fleet);
    }
    fleet.cut(false);
    fleet.wait_exchange(&[0, 1, 2]);
    share(&mut conversations, |i| i % 3, &fleet);
    fleet.wait_exchange(&[0, 1, 2]);
    let found = share(&mut conversations, |i| (i + 1) % 3, &fleet);
    assert!(found > 0.8, "{found} after the cut");
    fleet.wait_exchange(&[0, 1, 2]);
    // An activator is killed. The others know where its conversations are.
    fleet.programs[0].as_mut().unwrap().kill();
    fleet.programs[0] = None;
    let found = share(&mut conversations, |i| 1 + i % 2, &fleet);
    assert!(found > 0.8, "{found} after a death");
    // It restarts without state, and learns the locations from the others.
    fleet.programs[0] = Some(Program::start(&fleet.files[0], true));
    fleet.wait_sites(0, 3);
    share(&mut conversations, |i| i % 3, &fleet);
    fleet.wait_exchange(&[0, 1, 2]);
    let found = share(&mut conversations, |i| (i + 1) % 3, &fleet);
    assert!(found > 0.8, "{found} after its return");
    fleet.check_ran_once(&conversations);
}

#[test]
fn conversations_of_a_lost_site_move_and_do_not_all_return_to_it() {
    let fleet = Fleet::start(2, 3, 10_000);
    let mut conversations = Conversation::several(18);
    for turn in 0..3 {
        share(&mut conversations, |i| (i + turn) % 2, &fleet);
    }
    fleet.set_listed(1, false);
    (0..2).for_each(|i| fleet.wait_sites(i, 2));
    let before = fleet.sites[1].calls();
    share(&mut conversations, |i| i % 2, &fleet);
    fleet.wait_exchange(&[0, 1]);
    let found = share(&mut conversations, |i| i % 2, &fleet);
    assert!(found > 0.8, "{found} after all have moved");
    assert_eq!(fleet.sites[1].calls(), before, "a site that is gone was called");
    fleet.sites[1].cache.lock().unwrap().blocks.clear();
    fleet.set_listed(1, true);
    (0..2).for_each(|i| fleet.wait_sites(i, 3));
    // Conversations whose prefix is at another site stay there. New ones are spread, and not all go to the empty site.
    let found = share(&mut conversations, |i| i % 2, &fleet);
    assert!(found > 0.7, "{found} with the empty site there");
    let mut fresh: Vec<Conversation> = Conversation::several(48).split_off(18);
    share(&mut fresh, |i| i % 2, &fleet);
    let calls = fleet.sites[1].calls() - before;
    assert!((1..=32).contains(&calls), "{calls} of 48 at the site that is back");
    conversations.extend(fresh);
    fleet.check_ran_once(&conversations);
}

/// Lanes of each host.
const LANES: f64 = 4.0;
/// Blocks that a lane computes in a second.
const BLOCKS_PER_SEC: f64 = 10.0;
/// The setting `anew`: the share of lanes for computing prefixes of lost sites anew.
const ANEW_SHARE: f64 = 0.5;
/// Blocks of a prefix at the start of the tests with lost sites.
const PREFIX_BLOCKS: u64 = 20;

/// A site is lost at full load while three activators are partitioned. The blocks that the other sites compute anew for its
/// conversations, as hosts count them, stay within one budget and not three. Turns beyond it are answered 503 in time and do
/// not run. The site returns empty and is not flooded. Each call has one answer and runs once.
#[test]
fn a_site_lost_at_full_load_in_a_partition_costs_the_others_one_budget() {
    let table = format!(
        "[turns]\nsite = \"cell\"\nblock_us = {}\nlanes = {LANES}\nresident = true\nperiod_ms = 50\nanew = {ANEW_SHARE}\n",
        1e6 / BLOCKS_PER_SEC
    );
    let fleet = Fleet::start_with(3, 3, 100_000, &table);
    let mut conversations = Conversation::several(120);
    for conversation in &mut conversations {
        conversation.prefix =
            (0..PREFIX_BLOCKS).map(|i| format!("{:x}", conversation.number << 32 | (1_000 + i))).collect();
    }
    let busy = Mutex::new(Vec::new());
    let (lost_at, lost_site, lost, refused) = scope(|s| {
        // Calls without a turn keep every lane busy until the guard is dropped.
        let stopped = Arc::new(AtomicBool::new(false));
        let _guard = StopOnDrop(stopped.clone());
        for i in 0..12 {
            let (stopped, busy, fleet) = (stopped.clone(), &busy, &fleet);
            s.spawn(move || {
                for n in 0.. {
                    if stopped.load(Relaxed) {
                        return;
                    }
                    let body = format!("busy {i} {n} 0");
                    let reply = fleet.program(i % 3).http(&call("chat", "check-score", &[], &body));
                    assert!([200, 503].contains(&reply.status), "{}", reply.head);
                    if reply.status == 200 {
                        busy.lock().unwrap().push(body);
                    }
                }
            });
        }
        // The activators estimate the idle capacity of lanes from the first turn on, so the lanes must be busy before.
        wait_for("busy lanes", || busy.lock().unwrap().len() >= 24);
        // Prefixes that no site has held do not count against the budget, so no turn is refused.
        assert_eq!((round(&mut conversations, &fleet), round(&mut conversations, &fleet)), (0, 0));
        // The site of each conversation's last turn, since some conversations were moved because of load.
        let mut last: BTreeMap<u64, (Instant, usize)> = BTreeMap::new();
        for (i, site) in fleet.sites.iter().enumerate() {
            for (number, at, _) in &site.cache.lock().unwrap().missed {
                let last = last.entry(*number).or_insert((*at, i));
                *last = (*last).max((*at, i));
            }
        }
        // The site with the most conversations is lost. Which one that is varies, as the busy calls make load move some.
        let at = |site: usize| last.values().filter(|(_, i)| *i == site).count();
        let lost_site = (0..3).max_by_key(|site| at(*site)).unwrap();
        let lost: Vec<u64> =
            last.into_iter().filter(|(_, (_, i))| *i == lost_site).map(|(number, _)| number).collect();
        fleet.cut(true);
        // Wait until the activators have forgotten the messages of the others.
        sleep(ms(1_000));
        let lost_at = Instant::now();
        fleet.set_listed(lost_site, false);
        (0..3).for_each(|i| fleet.wait_sites(i, 2));
        // The displaced conversations come first.
        conversations.sort_by_key(|t| !lost.contains(&t.number));
        let displaced = conversations.iter().filter(|t| lost.contains(&t.number)).count();
        assert!(displaced >= 12, "only {displaced} were displaced");
        let retry = |_| {
            sleep(ms(250));
            // Conversations that were served have a site now, and the others are retried.
            let waiting = conversations[..displaced].iter().filter(|t| t.answered.len() < 3).count();
            conversations[..displaced].sort_by_key(|t| t.answered.len() >= 3);
            round(&mut conversations[..waiting], &fleet)
        };
        let refused: usize = (0..8).map(retry).sum();
        (lost_at, lost_site, lost, refused)
    });
    // A conversation may go to any of the two other sites that has room, so the limit is the sum of their budgets.
    let mut anew = Vec::new();
    for site in (0..3).filter(|site| *site != lost_site) {
        let cache = fleet.sites[site].cache.lock().unwrap();
        anew.extend(
            cache.missed.iter().filter(|(number, at, _)| *at >= lost_at && lost.contains(number)).copied(),
        );
    }
    anew.sort_by_key(|(_, at, _)| *at);
    let mut sum = 0;
    for (_, at, blocks) in anew {
        sum += blocks;
        // Budgets refill while the machine stalls, so the limit grows with time and holds on a slow machine too.
        let since = (at - lost_at).as_secs_f64();
        let max =
            2.0 * (ANEW_SHARE * LANES * BLOCKS_PER_SEC * (since + 1.0) + 3.0 * (PREFIX_BLOCKS + 8) as f64);
        assert!(sum as f64 <= max, "{sum} blocks anew within {since} s, {max} at most");
    }
    assert!(sum > 0, "nothing was computed anew");
    assert!(refused > 0, "the budget never ran out");
    let given_up = |i: usize| fleet.view(i)["held_back"]["given_up"].as_u64().unwrap();
    assert!(given_up(0) + given_up(1) + given_up(2) > 0, "refused for another reason");
    // The site returns empty, and the partition ends.
    fleet.sites[lost_site].cache.lock().unwrap().blocks.clear();
    let before = fleet.sites[lost_site].calls();
    fleet.cut(false);
    fleet.set_listed(lost_site, true);
    (0..3).for_each(|i| fleet.wait_sites(i, 3));
    let mut fresh = Conversation::several(300).split_off(120);
    round(&mut fresh, &fleet);
    round(&mut fresh, &fleet);
    let calls = fleet.sites[lost_site].calls() - before;
    assert!((1..=180).contains(&calls), "{calls} of 360 at the site that is back");
    let mut busy_calls = Conversation::several(1).remove(0);
    busy_calls.answered = busy.into_inner().unwrap();
    conversations.extend(fresh);
    conversations.push(busy_calls);
    fleet.check_ran_once(&conversations);
}

/// Sets the flag when it is dropped, also by a panic.
struct StopOnDrop(Arc<AtomicBool>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Relaxed);
    }
}

/// Sends a turn of each conversation to its activator of three, with several threads. Returns how many were refused.
fn round(conversations: &mut [Conversation], fleet: &Fleet) -> usize {
    scope(|s| {
        let parts: Vec<_> = conversations
            .chunks_mut(4)
            .map(|part| {
                s.spawn(move || {
                    let refused =
                        |t: &mut Conversation| t.try_turn(fleet.program((t.number % 3) as usize)).is_none();
                    part.iter_mut().map(refused).filter(|refused| *refused).count()
                })
            })
            .collect();
        parts.into_iter().map(|part| part.join().expect("a turn failed")).sum()
    })
}

#[rstest]
#[case::too_few_parts("12;3")]
#[case::too_many_parts("12;3;aa;bb")]
#[case::conversation_not_hex("x;3;aa")]
#[case::conversation_too_long("11112222333344445;3;aa")]
#[case::negative_new_blocks("12;-1;aa")]
#[case::too_many_new_blocks("12;65536;aa")]
#[case::empty_hash("12;3;aa,,bb")]
#[case::hash_not_hex("12;3;xyz")]
fn a_malformed_turn_is_refused_and_ignored_without_turns_settings(#[case] turn: &str) {
    let host = Host::warm();
    let header = format!("Wheellink-Turn: {turn}");
    let (program, _dns) = operator(&[&host], |text| format!("{text}\n{TURNS}"));
    let reply = program.http(&call("chat", "check-score", &[&header], "x"));
    assert_eq!(reply.status, 400);
    assert!(String::from_utf8_lossy(&reply.body).contains("Wheellink-Turn"), "{}", reply.head);
    let (program, _dns) = operator(&[&host], |text| text);
    let reply = program.http(&call("chat", "check-score", &[&header], "x"));
    assert_eq!((reply.status, reply.header("wheellink-found")), (200, None));
    assert_eq!(program.ask("GET", "/turns", "").0, 404);
    assert!(host.seen.lock().unwrap().calls.iter().all(|(line, _)| !line.contains("blocks=")));
}

/// A host that does not report the blocks it found is called like any other.
#[test]
fn a_host_that_does_not_report_found_blocks_is_called() {
    let host = Host::warm();
    let (program, _dns) = operator(&[&host], |text| format!("{text}\n{TURNS}"));
    for _ in 0..4 {
        let reply = program.http(&call("chat", "check-score", &["Wheellink-Turn: 1;1;a,b"], "x"));
        assert_eq!((reply.status, reply.header("wheellink-found")), (200, None));
    }
    assert!(host.seen.lock().unwrap().calls[0].0.contains(",blocks=a;b "));
}

#[test]
fn turns_settings_are_added_by_a_reload_and_invalid_ones_are_rejected() {
    let host = Host::warm();
    let (program, dns) = operator(&[&host], |text| text);
    let header = &["Wheellink-Turn: 1;1;a"];
    assert_eq!(program.http(&call("chat", "check-score", header, "x")).status, 200);
    program.reload(&format!("{}\n{TURNS}", operator_file(dns.address)));
    wait_for("turns", || program.ask("GET", "/turns", "").0 == 200);
    assert_eq!(program.http(&call("chat", "check-score", header, "y")).status, 200);
    let view = program.ask("GET", "/turns", "").1;
    assert_eq!((&view["placed"]["all"], &view["sites"][0]["there"]), (&1.into(), &true.into()), "{view}");
    // Invalid settings are rejected, and the settings in force stay.
    program.reload(&format!("{}\n{}", operator_file(dns.address), TURNS.replace("1000", "0")));
    wait_for("a refusal", || program.logged("price of a block") == 1);
    assert_eq!(program.ask("GET", "/turns", "").0, 200);
}

/// A fleet of one activator that has lost one of its two sites, and the conversations that were cached there: their next
/// turns wait for a budget.
fn fleet_with_a_lost_site() -> (Fleet, Vec<Conversation>, usize) {
    let table = format!(
        "[turns]\nsite = \"cell\"\nblock_us = {}\nlanes = {LANES}\nresident = true\nperiod_ms = 50\nanew = {ANEW_SHARE}\nhold = 0.9\n",
        1e6 / BLOCKS_PER_SEC
    );
    let fleet = Fleet::start_with(1, 2, 100_000, &table);
    let mut conversations = Conversation::several(60);
    for conversation in &mut conversations {
        conversation.prefix =
            (0..PREFIX_BLOCKS).map(|i| format!("{:x}", conversation.number << 32 | (1_000 + i))).collect();
    }
    for _ in 0..2 {
        for conversation in &mut conversations {
            conversation.turn(fleet.program(0));
        }
    }
    let lost_site = (0..2).max_by_key(|site| fleet.sites[*site].calls()).unwrap();
    let was_lost = |conversation: &Conversation| {
        let cache = fleet.sites[lost_site].cache.lock().unwrap();
        cache.missed.iter().any(|(number, ..)| *number == conversation.number)
    };
    conversations.retain(was_lost);
    fleet.set_listed(lost_site, false);
    fleet.wait_sites(0, 1);
    (fleet, conversations, 1 - lost_site)
}

/// The next turn of a conversation, as a call of this class.
fn next_turn(conversation: &Conversation, class: &str) -> String {
    let header = format!("Wheellink-Turn: {:x};2;{}", conversation.number, conversation.prefix.join(","));
    let body = format!("leaves {} {:x}", conversation.number, conversation.number << 32 | 99);
    call("chat", class, &[&header], &body)
}

/// Turns whose prefix was lost with its site wait for a budget. If the client disconnects meanwhile, no call is sent for its turn
/// when the budget allows it.
#[test]
fn held_back_turns_of_clients_that_disconnect_are_not_run() {
    let (fleet, conversations, left) = fleet_with_a_lost_site();
    let site = &fleet.sites[left];
    let ended = || fleet.program(0).logged("ended reason=");
    let before = ended();
    let mut clients = Vec::new();
    for conversation in &conversations {
        let mut client = fleet.program(0).connect();
        client.write_all(next_turn(conversation, "check-score").as_bytes()).unwrap();
        clients.push(client);
    }
    let held_back = || fleet.view(0)["held_back"]["now"].as_u64().unwrap();
    wait_for("turns that are held back", || held_back() > 0);
    let closed = clients.len();
    drop(clients);
    wait_for("the ends of their connections", || ended() >= before + closed);
    let waiting = held_back();
    assert!(waiting > 0, "no turn is held back any more");
    // Calls without a turn. Once they are answered, earlier calls have reached the site, and its connections are open.
    let other =
        || assert_eq!(fleet.program(0).http(&call("chat", "check-score", &[], "other 0")).status, 200);
    (0..16).for_each(|_| other());
    let received = |site: &Site| site.cache.lock().unwrap().lines.len();
    let before_wait = received(site);
    let mut others = 0;
    wait_for("the end of the held-back turns", || {
        other();
        others += 1;
        held_back() == 0
    });
    (0..16).for_each(|_| other());
    assert_eq!(received(site), before_wait + others + 16, "a turn of {waiting} held back was run");
}

/// The classes that a turn waits under may move or go by a reload: it keeps its own. The review found that it kept the
/// index of its class, by which the engine took it for a call of another class, or did not take it at all.
#[test]
fn held_back_turns_keep_their_class_over_a_reload() {
    let (fleet, conversations, _) = fleet_with_a_lost_site();
    let mut clients = Vec::new();
    for conversation in &conversations {
        let mut client = fleet.program(0).connect();
        client.write_all(next_turn(conversation, "send-mail").as_bytes()).unwrap();
        clients.push(client);
    }
    let held_back = || fleet.view(0)["held_back"]["now"].as_u64().unwrap();
    wait_for("turns that are held back", || held_back() > 0);
    let file = &fleet.files[0];
    let (mail, after) =
        (file.find("[[class]]\nname = \"send-mail\"").unwrap(), file.find("[[tenant]]").unwrap());
    let first = file.find("[[class]]").unwrap();
    let text = format!("{}{}{}", &file[..first], &file[mail..after], &file[after..]);
    fleet.program(0).reload(&text);
    wait_for("the reload", || fleet.program(0).logged("configuration read again") == 1);
    assert!(held_back() > 0, "no turn is held back any more");
    let statuses: Vec<u16> =
        clients.iter_mut().map(|client| read_reply(client).expect("an answer").status).collect();
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
}
