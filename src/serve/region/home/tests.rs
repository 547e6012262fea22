use super::*;

fn prompt(subject: usize, tokens: u64) -> Vec<PromptPart> {
    let part = |id: String, tokens| PromptPart {
        id: id.into(),
        tokens,
    };
    vec![part(format!("s{subject}"), tokens), part("own".into(), 500)]
}

#[test]
fn prompts_spread_by_zones() {
    let regions: [id::Region; 3] = ["a".into(), "a".into(), "b".into()];
    let (homes, everywhere) = (Homes::new(&regions), Residency::default());
    let in_a = (0..3_000).filter(|subject| {
        let home = homes
            .region(&prompt(*subject, 5_000), &everywhere)
            .expect("a long one");
        **home == *"a"
    });
    let count = in_a.count();
    assert!((1_900..2_100).contains(&count), "{count} of 3,000");
}

#[test]
fn short_prompt_stays() {
    let regions: [id::Region; 2] = ["a".into(), "b".into()];
    let (homes, everywhere) = (Homes::new(&regions), Residency::default());
    assert_eq!(homes.region(&prompt(1, 300), &everywhere), None);
    assert_eq!(homes.region(&[], &everywhere), None);
}

/// Guards against a prompt that the hash sends to a region where it may not be.
#[test]
fn prompt_kept_in_allowed_region() {
    let regions: [id::Region; 3] = ["a".into(), "b".into(), "c".into()];
    let homes = Homes::new(&regions);
    let places = [("z", "a"), ("y", "b"), ("x", "c")];
    let places = places.map(|(zone, region)| (zone.into(), region.into()));
    let residency = |allowed: &[id::Region]| Residency::new(&places.clone().into(), allowed, &[]);
    for subject in 0..50 {
        let kept = homes.region(&prompt(subject, 5_000), &residency(&regions[1..]));
        assert_ne!(kept.map(|region| &**region), Some("a"));
        let kept = homes.region(&prompt(subject, 5_000), &residency(&regions[..1]));
        assert_eq!(kept.map(|region| &**region), Some("a"));
        let nowhere = residency(&["d".into()]);
        assert_eq!(homes.region(&prompt(subject, 5_000), &nowhere), None);
    }
}
