//! Tests of `sites` that need its private state.

use super::*;

#[test]
fn the_horizon_is_learned_and_follows_changes() {
    for seed in 0..8 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut s = SiteState::new(SiteId(1), Duration::ZERO);
        s.clock = 10_000_000;
        for horizon in [3_000.0, 200.0, 50_000.0, 900.0] {
            for _ in 0..1_500 {
                // Ages as in a router: mostly of blocks that the site probably still holds.
                let age = s.horizon() * 4.0 * rng.f64().powi(2);
                s.learn(s.clock - age as u32, f64::from(u8::from(age < horizon)), 1.0);
            }
            let found = s.horizon() / horizon;
            assert!((0.5..2.0).contains(&found), "seed {seed}: {found} of {horizon}");
        }
    }
}

#[test]
fn a_returned_site_gets_the_others_load_and_an_empty_cache() {
    let (mut sites, now) = (Sites::default(), Duration::from_secs(1));
    let settings = Settings::default();
    let of = |i: u32| SiteStatus { site: SiteId(i), capacity: 4.0, in_flight: 0.0, remote: false };
    let indexes: Vec<u16> = (0..3).map(|i| sites.update(now, &of(i), &settings).unwrap()).collect();
    indexes.iter().for_each(|p| sites.record_sent(now, *p, 100.0));
    sites.site_lost(SiteId(1));
    sites.site_lost(SiteId(1));
    assert_eq!(sites.all[1].epoch, 1);
    let later = now + Duration::from_secs(20);
    sites.record_sent(later, 0, 90.0);
    sites.record_sent(later, 2, 110.0);
    (0..5).for_each(|_| sites.record_sent(later, 0, 0.0));
    (0..3).for_each(|_| sites.record_sent(later, 2, 0.0));
    sites.site_returned(later, SiteId(1));
    sites.update(later, &of(1), &settings);
    assert_eq!((sites.count(0), sites.count(1), sites.count(2)), (6.0, 5.0, 4.0));
    let mean = (sites.load(later, 0) + sites.load(later, 2)) / 2.0;
    assert!(mean > 100.0 && (sites.load(later, 1) - mean).abs() < 1.0, "{} and {mean}", sites.load(later, 1));
}

#[test]
fn sites_and_peers_are_bounded() {
    let (mut sites, now) = (Sites::default(), Duration::ZERO);
    let met = (0..1_000).filter(|i| sites.get_or_insert(now, SiteId(*i)).is_some()).count();
    assert_eq!((met, sites.all.len()), (MAX_SITES, MAX_SITES));
    sites.site_lost(SiteId(7));
    assert!(sites.get_or_insert(now, SiteId(5_000)).is_some() && sites.index(SiteId(7)).is_none());
    assert!(sites.get_or_insert(now, SiteId(5_001)).is_none());
    for i in 0..3_000 {
        sites.on_loads(now, MemberId(i), (1, 1), &[(3, f32::NAN, 7), (4, 2.0, 1)]);
    }
    assert_eq!((sites.peers.len(), sites.load(now, 3)), (MAX_PEERS, 0.0));
    assert_eq!(sites.load(now, 4), 2.0 * MAX_PEERS as f64);
    // Older and repeated reports change nothing.
    sites.on_loads(now, MemberId(1), (1, 1), &[(4, 50.0, 9)]);
    assert_eq!(sites.load(now, 4), 2.0 * MAX_PEERS as f64);
    assert_eq!((sites.count(3), sites.count(4)), (7.0 * MAX_PEERS as f64, MAX_PEERS as f64));
    sites.expire_peers(now, Duration::from_secs(1), &[MemberId(1)]);
    assert_eq!((sites.activators(), sites.load(now, 4)), (2, 2.0));
}
