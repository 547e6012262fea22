use super::*;

fn prompt(name: &str, count: usize) -> Vec<PromptPart> {
    let part = |number| PromptPart {
        id: format!("{name}-{number}").as_str().into(),
        tokens: 1,
    };
    (0..count).map(part).collect()
}

/// Guards against prompts of many parts that take the memory, and against one client's that push out what others use.
#[test]
fn parts_bounded_and_used_ones_kept() {
    for engines in [1, 12, 140, 3_000] {
        let mut cache = Cache::default();
        let used = prompt("used", 3);
        let most = (MAX_PARTS / engines).max(MIN_PARTS);
        for number in 0..200_u32 {
            let now = Duration::from_millis(10) * number;
            cache.begin(&prompt(&number.to_string(), 1_600), engines, now);
            if number % 2 == 0 {
                cache.begin(&used, engines, now);
            }
            assert!(cache.parts.len() <= most, "{engines} engines");
            assert_eq!(cache.tokens(&used, now), 3, "{engines} engines");
        }
        let long = prompt("199", 1_600);
        let kept = cache.tokens(&long, Duration::from_secs(2));
        let expected = (most / PROMPT_DIVISOR).min(1_600);
        assert_eq!(kept, expected as u64, "{engines} engines");
    }
}
