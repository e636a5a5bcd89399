//! Tenants and classes are known by index: what is counted follows them when the lists of the settings change.

use std::net::IpAddr;

use wheellink::{NewIndexes, Renumbering};
use wheellink_admission::{Admission, Caps, RequestInfo, Rules};

fn names(list: &str) -> Vec<String> {
    list.split_whitespace().map(String::from).collect()
}

fn request(tenant: usize) -> RequestInfo {
    let from: IpAddr = [127, 0, 0, 1].into();
    RequestInfo { from, tenant: Some(tenant), size: 1, share: 0.5, worth: 1.0 }
}

/// Each tenant may have one request open. Two tenants change places while one has a request open.
#[test]
fn open_requests_count_for_their_tenant_after_tenants_changed_places() {
    let rules = Rules { tenant: Caps { open: Some(1), ..Caps::default() }, ..Rules::default() };
    let mut admission = Admission::new(rules);
    assert!(admission.admit_request(1, &request(0)).is_ok());
    let tenants = NewIndexes::between(&names("a b"), &names("b a"));
    admission.renumber(&Renumbering { tenants, ..Renumbering::default() });
    assert!(admission.admit_request(2, &request(0)).is_ok(), "tenant b has no request open");
    assert!(admission.admit_request(3, &request(1)).is_err(), "tenant a has one");
    admission.request_done(4, &request(1), 0, Some(1));
    assert!(admission.admit_request(5, &request(1)).is_ok());
}

/// What was counted for a tenant that is gone does not pass to another one.
#[test]
fn a_tenant_that_is_gone_leaves_nothing() {
    let rules = Rules { tenant: Caps { open: Some(1), ..Caps::default() }, ..Rules::default() };
    let mut admission = Admission::new(rules);
    assert!(admission.admit_request(1, &request(0)).is_ok());
    let tenants = NewIndexes::between(&names("a b"), &names("b"));
    admission.renumber(&Renumbering { tenants, ..Renumbering::default() });
    assert!(admission.admit_request(2, &request(0)).is_ok(), "tenant b has no request open");
}
