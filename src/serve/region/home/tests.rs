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
    let homes = Homes::new(&regions);
    let in_a = (0..3_000).filter(|subject| {
        let home = homes.region(&prompt(*subject, 5_000)).expect("a long one");
        **home == *"a"
    });
    let count = in_a.count();
    assert!((1_900..2_100).contains(&count), "{count} of 3,000");
}

#[test]
fn short_prompt_stays() {
    let regions: [id::Region; 2] = ["a".into(), "b".into()];
    let homes = Homes::new(&regions);
    assert_eq!(homes.region(&prompt(1, 300)), None);
    assert_eq!(homes.region(&[]), None);
}
