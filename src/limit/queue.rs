//! The bounded queue of one pool: fair among workspaces by weight in tokens, then by priority
//! and earliest deadline.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;
use crate::policy::Ticket;

/// How long the wait must stay high before a queue counts as standing.
const INTERVAL: Duration = Duration::from_millis(500);

/// A stage that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// What to name when it may ask again.
    pub ticket: Ticket,
    /// Its workspace.
    pub workspace: id::Workspace,
    /// The share of its workspace.
    pub weight: f64,
    /// 0 is the most important, 7 the least.
    pub priority: u8,
    /// When the whole answer is due.
    pub deadline: Time,
    /// The last time at which a start may still meet the deadline.
    pub latest: Time,
    /// Cost in tokens.
    pub cost: u64,
    /// When it began to wait.
    pub since: Time,
}

/// The order within a lane.
type Rank = (u8, Time, u64);

#[derive(Debug, Default)]
struct Lane {
    /// Virtual time at which the workspace's next item starts.
    start: f64,
    cost: u64,
    /// Ranks in order; the items stand in `Queue::items`.
    order: BinaryHeap<Reverse<(Rank, uuid::Uuid, id::Attempt)>>,
    waiting: usize,
}

/// A queue in which each active workspace has a lane; idle workspaces take no space.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: IndexMap<id::Workspace, Lane>,
    items: IndexMap<(id::Request, id::Attempt), (Item, u64)>,
    /// Virtual time: the start of the last item taken.
    virtual_time: f64,
    sequence: u64,
    /// When the wait last fell below the target.
    calm: Time,
}

impl Queue {
    /// How many stages wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// How many workspaces have something that waits.
    pub fn workspaces(&self) -> usize {
        self.lanes.len()
    }

    /// Adds an item. When the queue then holds more than `most`, the last item of the workspace
    /// with the longest wait for its weight is taken out and returned.
    pub fn push(&mut self, item: Item, most: usize) -> Option<Item> {
        self.sequence += 1;
        let start = self.virtual_time;
        let lane = self.lanes.entry(item.workspace.clone()).or_default();
        if lane.waiting == 0 {
            lane.start = lane.start.max(start);
        }
        lane.waiting += 1;
        lane.cost += item.cost;
        let rank = (item.priority, item.deadline, self.sequence);
        let key = (item.ticket.request, item.ticket.attempt);
        lane.order.push(Reverse((rank, key.0, key.1)));
        self.items.insert(key, (item, self.sequence));
        if self.items.len() > most {
            return self.evict();
        }
        None
    }

    fn evict(&mut self) -> Option<Item> {
        let weight_of = |lane: &Lane| {
            let Reverse((_, request, attempt)) = lane.order.peek()?;
            self.items.get(&(*request, *attempt)).map(|(i, _)| i.weight)
        };
        let longest = self
            .lanes
            .iter()
            .max_by(|(_, a), (_, b)| {
                let a = a.cost as f64 / weight_of(a).unwrap_or(1.0);
                let b = b.cost as f64 / weight_of(b).unwrap_or(1.0);
                a.total_cmp(&b)
            })
            .map(|(name, _)| name.clone())?;
        let last = self
            .items
            .values()
            .filter(|(item, _)| item.workspace == longest)
            .max_by_key(|(item, sequence)| (item.priority, item.deadline, *sequence))
            .map(|(item, _)| item.ticket.clone())?;
        self.remove(&last)
    }

    /// Takes a waiting stage out.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<Item> {
        let key = (ticket.request, ticket.attempt);
        let (item, _) = self.items.swap_remove(&key)?;
        self.release(&item);
        Some(item)
    }

    fn release(&mut self, item: &Item) {
        let Some(lane) = self.lanes.get_mut(&item.workspace) else {
            return;
        };
        lane.waiting -= 1;
        lane.cost = lane.cost.saturating_sub(item.cost);
        if lane.waiting == 0 && lane.start <= self.virtual_time {
            self.lanes.swap_remove(&item.workspace);
        }
    }

    /// Takes the next item: of the lane with the earliest virtual start, the first by priority
    /// and deadline.
    pub fn pop(&mut self, target: Duration, now: Time) -> Option<Item> {
        let name = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.waiting > 0)
            .min_by(|(_, a), (_, b)| a.start.total_cmp(&b.start))
            .map(|(name, _)| name.clone())?;
        let item = self.take(&name)?;
        if now.saturating_sub(item.since) < target {
            self.calm = now;
        }
        let lane = self.lanes.get_mut(&name);
        if let Some(lane) = lane {
            self.virtual_time = self.virtual_time.max(lane.start);
            lane.start += item.cost.max(1) as f64 / item.weight;
        }
        self.release(&item);
        self.forget();
        Some(item)
    }

    fn take(&mut self, workspace: &id::Workspace) -> Option<Item> {
        let lane = self.lanes.get_mut(workspace)?;
        while let Some(Reverse((_, request, attempt))) = lane.order.pop() {
            if let Some((item, _)) = self.items.swap_remove(&(request, attempt)) {
                return Some(item);
            }
        }
        None
    }

    /// Drops idle lanes whose debt is paid, or all of them when nothing waits.
    fn forget(&mut self) {
        let time = self.virtual_time;
        if self.items.is_empty() {
            self.lanes.clear();
        } else if self.lanes.len() > 2 * self.items.len() + 16 {
            self.lanes
                .retain(|_, lane| lane.waiting > 0 || lane.start > time);
        }
    }

    /// Takes out the items that can no longer meet their deadline.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        let late: Vec<Ticket> = self
            .items
            .values()
            .filter(|(item, _)| item.latest <= now)
            .map(|(item, _)| item.ticket.clone())
            .collect();
        late.iter().filter_map(|t| self.remove(t)).collect()
    }

    /// When the next item can no longer meet its deadline.
    pub fn next_expiry(&self) -> Option<Time> {
        self.items.values().map(|(item, _)| item.latest).min()
    }

    /// Whether even the shortest wait was above the target for a whole interval.
    pub fn is_standing(&self, now: Time) -> bool {
        !self.items.is_empty() && now.saturating_sub(self.calm) > INTERVAL
    }

    /// The queue was seen empty, or its wait short.
    pub fn settle(&mut self, now: Time) {
        self.calm = now;
    }
}

#[cfg(test)]
mod tests;
