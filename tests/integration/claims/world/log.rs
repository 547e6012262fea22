//! The log of a world, and what goes wrong with it.

use super::*;

impl World<'_> {
    pub(super) fn append(&mut self, daemon: usize, body: Vec<u8>) {
        let lands = self.now + self.latency();
        let answered = lands + self.latency();
        let given_up = self.now + Duration::from_secs(1);
        let fault = if self.now < self.outage {
            Some(if self.rng.random_bool(0.5) {
                Append::Refused
            } else {
                Append::LostBefore
            })
        } else {
            self.appends.pop()
        };
        let (lands, answer) = match fault {
            None => (Some(lands), (answered, Receipt::Done)),
            Some(Append::Refused) => (None, (answered, Receipt::NoEffect)),
            Some(Append::LostBefore) => (None, (given_up, Receipt::Unknown)),
            Some(Append::LostAfter) => (Some(lands), (given_up, Receipt::Unknown)),
            Some(Append::Late) => {
                let late = Duration::from_millis(self.rng.random_range(0..8_000));
                (Some(given_up + late), (given_up, Receipt::Unknown))
            }
        };
        if let Some(at) = lands {
            self.at(at, Happening::Effect(body));
        }
        self.deliver_at(answer.0, daemon, Event::Appended(answer.1));
    }

    fn trim(&mut self) {
        while self
            .records
            .get(self.first)
            .is_some_and(|(at, _)| *at + RETENTION < self.now)
        {
            self.first += 1;
        }
    }

    pub(super) fn snapshot(
        &mut self,
        daemon: usize,
        generation: u64,
        from: id::Offset,
        until: Duration,
    ) {
        let at = self.now + self.latency();
        if self.now < self.outage {
            return self.deliver_if(at, daemon, generation, Event::Read(None));
        }
        self.trim();
        // A stale read sees the log without its last records.
        let hidden = usize::from(self.now < self.stale) * 2;
        let end = self.records.len().saturating_sub(hidden).max(self.first);
        let start = usize::try_from(from).unwrap().max(self.first);
        if start >= end && self.now < until {
            let again = self.now + Duration::from_millis(20);
            return self.at(again, Happening::Snapshot(daemon, generation, from, until));
        }
        let offset = |index: usize| u64::try_from(index).unwrap();
        // Pages are small, so that reading takes several.
        let records = (start..end.min(start + 16))
            .map(|index| Record {
                offset: offset(index),
                body: self.records[index].1.clone(),
            })
            .collect();
        let page = Page {
            first: offset(self.first),
            end: offset(end),
            records,
        };
        self.deliver_if(at, daemon, generation, Event::Read(Some(page)));
    }

    fn deliver_if(&mut self, at: Duration, daemon: usize, generation: u64, event: Event) {
        self.at(at, Happening::Deliver(daemon, generation, Box::new(event)));
    }

    pub(super) fn fetch(&mut self, offset: id::Offset) -> Fetch {
        if self.now < self.outage {
            return Fetch::Failed;
        }
        self.trim();
        let index = usize::try_from(offset).unwrap();
        if index < self.first {
            return Fetch::Trimmed;
        }
        Fetch::Record(self.records[index].1.clone())
    }
}
