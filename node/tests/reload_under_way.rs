//! Reloads while requests are under way: classes and zones stand in lists, and a new configuration may add, remove or
//! move their entries. A request keeps its class.

mod common;

use common::rollout::*;
use common::*;
use rstest::rstest;
use serde_json::{json, Value};

const FAILED: u8 = 69;
/// Index of `send-mail` among the classes.
const MAIL: usize = 2;

fn failing_host() -> Host {
    Host::start(Ways { does: Does::Answer("500"), work: ms(1), load: None })
}

fn one_more(mut classes: Vec<Value>) -> Vec<Value> {
    let mut read = classes[0].clone();
    read["Name"] = json!("read-scores");
    classes.insert(MAIL, read);
    classes
}

fn reversed(mut classes: Vec<Value>) -> Vec<Value> {
    classes.reverse();
    classes
}

fn without_mail(mut classes: Vec<Value>) -> Vec<Value> {
    classes.remove(MAIL);
    classes
}

fn only_mail(mut classes: Vec<Value>) -> Vec<Value> {
    classes.drain(..MAIL);
    classes
}

fn safe_mail(mut classes: Vec<Value>) -> Vec<Value> {
    classes[MAIL]["Effect"] = json!("safe");
    classes
}

/// A mail waits at the new version of a rollout. The classes of the old version change, and the new version is killed. The
/// old version sends the mail, and the host answers with an error: it may have run and is not sent again. The review
/// found that the old version took it for a call of the class that had its index then, and that it ran twice.
#[rstest]
#[case::one_more_class(one_more)]
#[case::classes_reversed(reversed)]
#[case::its_class_gone(without_mail)]
#[case::the_others_gone(only_mail)]
#[case::its_class_made_safe(safe_mail)]
fn a_mail_keeps_its_class_when_the_new_version_is_lost_after_a_reload(
    #[case] change: fn(Vec<Value>) -> Vec<Value>,
) {
    let (a, b) = (failing_host(), failing_host());
    let mut p = pair(&[&a, &b]).with_full_share();
    let mut client = Client::new(&p.old.program, 0);
    p.new.stop(true);
    let mail = client.send("send-mail");
    wait_for("the call", || p.count("passed") == 1);
    let listen = ("listen", json!(p.old.program.address.to_string()));
    let text =
        edited(&config(p.old.bus.address, &[&a, &b]), &[("rollout", json!({"version": "one"})), listen]);
    let classes: Vec<Value> = {
        let all: Value = serde_json::from_str(&text).unwrap();
        all["settings"]["Profiles"].as_array().unwrap().clone()
    };
    p.old.program.reload(&edited(&text, &[("settings/Profiles", json!(change(classes)))]));
    wait_for("the reload", || p.old.program.logged("configuration read again") == 1);
    p.new.kill();
    assert_eq!(client.code(mail), FAILED);
    std::thread::sleep(ms(200));
    assert_eq!(runs(&[&a, &b], mail), 1);
    assert_eq!(p.count("run_anew"), 1);
    client.finish();
}

/// The zones are listed in another order, and a host of the other zone appears at the index that the first host's zone had. A
/// keyed call of the scope `zone` whose connection breaks is not repeated there.
#[test]
fn a_keyed_call_stays_in_its_zone_when_a_reload_moves_the_zones() {
    let (a, b) = (Host::start(Ways { does: Does::Nothing, work: ms(1), load: None }), Host::warm());
    let bus = Bus::start();
    let scope = ("settings/Profiles/1/DedupScope", json!("zone"));
    let text = edited(&config(bus.address, &[&a]), &[scope]);
    let program = Program::start(&text, false);
    let (_, mut feed) = bus.greeted();
    let mut client = Client::new(&program, 0);
    let call = client.send("save-answers");
    wait_for("the call", || a.calls() == 1);
    program.reload(&edited(&text, &[("settings/Zones", json!(["y", "z"]))]));
    wait_for("the reload", || program.logged("configuration read again") == 1);
    // A record's zone is 0, which is zone y now.
    std::io::Write::write_all(&mut feed, &event(2, false, &[(9, b.address, 0)])).unwrap();
    wait_for("the new host", || program.logged("s-00000009=Up") == 1);
    a.hang_up();
    assert_eq!(client.code(call), FAILED);
    assert_eq!(runs(&[&b], call), 0);
}
