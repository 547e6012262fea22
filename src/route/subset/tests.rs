//! Tests of subsetting.

use super::*;

fn names(prefix: &str, count: usize) -> Vec<id::Name> {
    (0..count).map(|n| format!("{prefix}{n}").into()).collect()
}

#[test]
fn subset_small_zone_is_whole() {
    let daemons = names("d", 3);
    let endpoints = names("e", 12);
    assert_eq!(subset(&daemons[0], &daemons, &endpoints, 40), endpoints);
}

#[test]
fn subset_large_zone_is_balanced_and_bounded() {
    let daemons = names("d", 22);
    let endpoints = names("e", 150);
    let mut seen: IndexMap<id::Endpoint, u32> = IndexMap::new();
    for me in &daemons {
        let mine = subset(me, &daemons, &endpoints, 40);
        // 150 endpoints for 6 daemons each are 40.9 a daemon; 3 % are allowed.
        assert!((40..=42).contains(&mine.len()), "{}", mine.len());
        for endpoint in mine {
            *seen.entry(endpoint).or_default() += 1;
        }
    }
    assert_eq!(seen.len(), endpoints.len());
    let most = seen.values().max().unwrap();
    let least = seen.values().min().unwrap();
    assert!(most - least <= 1, "{least} to {most} daemons an endpoint");
}

#[test]
fn subset_lost_daemon_moves_few() {
    let daemons = names("d", 22);
    let endpoints = names("e", 150);
    let before = subset(&daemons[0], &daemons, &endpoints, 40);
    let after = subset(&daemons[0], &daemons[..21], &endpoints, 40);
    let kept = before.iter().filter(|e| after.contains(e)).count();
    assert!(kept * 10 >= before.len() * 7, "{kept} of {}", before.len());
}
