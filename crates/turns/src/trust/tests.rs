//! Tests of `trust` that need its private state.

use super::*;

#[test]
fn a_lying_tenant_is_distrusted_but_not_all_tenants_at_once() {
    let mut trust = TenantTrust::new();
    for _ in 0..60 {
        trust.record_found(1, 0.0);
        trust.record_found(2, 1.0);
    }
    assert_eq!((trust.get(1), trust.get(2), trust.distrusted()), (0.0, 1.0, 1));
    (0..40).for_each(|_| trust.record_found(1, 1.0));
    assert_eq!(trust.get(1), 1.0);
    // When all tenants find 4 in 10 blocks, none is distrusted for it.
    let mut trust = TenantTrust::new();
    (0..4_000).for_each(|i| trust.record_found(i % 50, 0.4));
    assert!((0..50).all(|tenant| trust.get(tenant) > 0.9));
}
