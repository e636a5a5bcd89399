//! Histories with faults: the promise holds in each, and the change comes into force once the fault is over.

mod net;

use net::*;
use wheellink_accord::*;

fn attempts(value: i64) -> impl FnOnce(&mut Change) {
    move |change| {
        change.set.insert(key("class/a/attempts"), Value::Int(value));
    }
}

fn held(net: &Net, name: u32) -> Option<Value> {
    match net.acting(Name(name)) {
        Acting::One(_, terms) => terms.get(&key("class/a/attempts")).cloned(),
        _ => None,
    }
}

#[track_caller]
fn sound(net: &Net) {
    assert!(net.hard.is_empty(), "{:#?}\n{:#?}", net.hard, net.notes);
    let bound = net.settings.bound().as_micros() as u64;
    assert!(net.longest <= bound, "{} us of contradiction, {bound} promised\n{:#?}", net.longest, net.notes);
}

#[test]
fn a_change_comes_into_force_with_all() {
    let mut net = Net::new(5, 3, 1);
    net.start();
    let id = net.propose(Name(5), attempts(2)).unwrap();
    assert!(
        net.wait(30_000, |net| net.agreed().is_some_and(|version| version.number == 2)),
        "{:#?}",
        net.notes
    );
    assert_eq!(held(&net, 4), Some(Value::Int(2)));
    assert!(
        matches!(&net.settled[..], [(Name(5), settled, Ok(Version { number: 2, .. }))] if *settled == id)
    );
    sound(&net);
}
