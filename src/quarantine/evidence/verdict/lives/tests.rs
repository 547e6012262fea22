use super::*;

fn lives(numbers: &[usize]) -> Lives {
    numbers.iter().copied().collect()
}

#[test]
fn lives_compared_over_words() {
    let all = lives(&[1, 63, 64, 200]);
    assert_eq!(all.len(), 4);
    assert!(lives(&[63, 200]).is_subset(&all));
    assert!(!lives(&[63, 201]).is_subset(&all));
    assert!(!all.is_subset(&lives(&[1, 63])));
    assert_eq!(all.without(&lives(&[64, 200])), lives(&[63, 1]));
    assert!(all.without(&all).is_empty());
    let mut sum = lives(&[2]);
    sum.add(&lives(&[130]));
    assert_eq!(sum, lives(&[130, 2]));
    assert!(lives(&[]).is_subset(&sum) && lives(&[]).is_empty());
}
