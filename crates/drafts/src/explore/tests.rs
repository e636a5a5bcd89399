//! Unit tests of `explore`.

use super::*;

#[test]
fn the_exploration_budget_is_split_over_the_fleet() {
    let settings = Settings { explore_rate: 20.0, ..Settings::default() };
    for members in [1, 2, 8, 100] {
        let mut budgets = vec![ExplorationBudget::new(Duration::ZERO); members];
        let mut spent = 0;
        for second in 1..=60 {
            for budget in &mut budgets {
                budget.refill(Duration::from_secs(second), members, &settings);
                spent += (0..100).filter(|_| budget.take()).count();
            }
        }
        assert!(spent <= 60 * 20 + 2 * 20 + members, "{members} members: {spent} calls");
        assert!(spent >= 60 * 20 - 20 * 2 - members, "{members} members: {spent} calls");
    }
}

#[test]
fn draws_keep_to_the_exploration_share() {
    let settings = Settings { explore: 0.04, ..Settings::default() };
    let arms = Arms::of(None, &settings);
    let four = Draft { drafter: 1, length: 4 };
    let tried = (0..10_000).filter_map(|i| arms.draw(four, f64::from(i) / 10_000.0, &settings));
    let tried: Vec<Draft> = tried.collect();
    assert!((200..=400).contains(&tried.len()), "{}", tried.len());
    for expected in [Draft::OFF, Draft { drafter: 1, length: 8 }, Draft { drafter: 1, length: 3 }] {
        assert!(tried.contains(&expected), "{expected}");
    }
    assert!(!tried.contains(&four), "the draft in force is not explored");
    assert_eq!(arms.draw(four, f64::NAN, &settings), None);
}
