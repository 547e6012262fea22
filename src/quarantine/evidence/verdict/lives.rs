//! Sets of ended endpoints, by their numbers. A verdict compares those of thousands of parts.

const BITS: usize = u64::BITS as usize;

/// A set of numbers. Words at the end that hold none are left out, so that equal sets have equal words.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lives(Vec<u64>);

impl Lives {
    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether all of them are in another set.
    pub fn is_subset(&self, other: &Self) -> bool {
        let mut words = self.0.iter().enumerate();
        words.all(|(index, word)| word & !other.word(index) == 0)
    }

    /// Returns those that are not in another set.
    pub fn without(&self, other: &Self) -> Self {
        let words = self.0.iter().enumerate();
        let words = words.map(|(index, word)| word & !other.word(index));
        Self::from_words(words.collect())
    }

    /// Adds those of another set.
    pub fn add(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (word, other) in self.0.iter_mut().zip(&other.0) {
            *word |= other;
        }
    }

    fn word(&self, index: usize) -> u64 {
        self.0.get(index).copied().unwrap_or_default()
    }

    fn from_words(mut words: Vec<u64>) -> Self {
        while words.last() == Some(&0) {
            words.pop();
        }
        Self(words)
    }
}

impl FromIterator<usize> for Lives {
    fn from_iter<I: IntoIterator<Item = usize>>(numbers: I) -> Self {
        let mut words = Vec::new();
        for number in numbers {
            if words.len() <= number / BITS {
                words.resize(number / BITS + 1, 0);
            }
            words[number / BITS] |= 1 << (number % BITS);
        }
        Self(words)
    }
}

#[cfg(test)]
mod tests;
