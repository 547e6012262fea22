//! The bounded queue of one pool: fair among workspaces by weight in tokens, then by priority
//! and earliest deadline.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;
use crate::policy::Ticket;

/// How long the wait must exceed the target before a queue counts as standing.
const STANDING_INTERVAL: Duration = Duration::from_millis(500);

/// A queued attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Identifies the attempt.
    pub ticket: Ticket,
    /// Its workspace.
    pub workspace: id::Workspace,
    /// The weight of its workspace.
    pub weight: f64,
    /// 0 is the most important, 7 the least.
    pub priority: u8,
    /// When the complete answer is due.
    pub deadline: Time,
    /// The latest start that may still meet the deadline.
    pub latest_start: Time,
    /// Cost in tokens.
    pub cost: u64,
    /// When it was queued.
    pub enqueued: Time,
}

/// Priority, deadline and sequence number: the order within a flow.
type Rank = (u8, Time, u64);

/// The items of one workspace.
#[derive(Debug, Default)]
struct Flow {
    /// Virtual time at which its next item starts.
    virtual_start: f64,
    cost: u64,
    /// Ranks of its items, also of removed ones.
    order: BinaryHeap<Reverse<(Rank, uuid::Uuid, id::Attempt)>>,
    waiting: usize,
}

/// A fair queue with a flow for each active workspace; idle workspaces take no space.
#[derive(Debug, Default)]
pub struct Queue {
    flows: IndexMap<id::Workspace, Flow>,
    items: IndexMap<(id::Request, id::Attempt), (Item, u64)>,
    /// Virtual start of the last item taken.
    virtual_time: f64,
    sequence: u64,
    /// When the wait was last below the target.
    last_short_wait: Time,
}

impl Queue {
    /// How many attempts wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no attempt waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// How many workspaces have a flow.
    pub fn workspaces(&self) -> usize {
        self.flows.len()
    }

    /// Adds an item. If the queue then holds more than `max_len`, removes and returns the last item
    /// of the workspace with the most queued cost for its weight.
    pub fn push(&mut self, item: Item, max_len: usize) -> Option<Item> {
        self.sequence += 1;
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(item.workspace.clone()).or_default();
        if flow.waiting == 0 {
            flow.virtual_start = flow.virtual_start.max(virtual_time);
        }
        flow.waiting += 1;
        flow.cost += item.cost;
        let rank = (item.priority, item.deadline, self.sequence);
        let key = (item.ticket.request, item.ticket.attempt);
        flow.order.push(Reverse((rank, key.0, key.1)));
        self.items.insert(key, (item, self.sequence));
        if self.items.len() > max_len {
            return self.evict();
        }
        None
    }

    fn evict(&mut self) -> Option<Item> {
        let weight_of = |flow: &Flow| {
            let Reverse((_, request, attempt)) = flow.order.peek()?;
            self.items.get(&(*request, *attempt)).map(|(i, _)| i.weight)
        };
        let longest = self
            .flows
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

    /// Removes a queued attempt.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<Item> {
        let key = (ticket.request, ticket.attempt);
        let (item, _) = self.items.swap_remove(&key)?;
        self.remove_from_flow(&item);
        Some(item)
    }

    fn remove_from_flow(&mut self, item: &Item) {
        let Some(flow) = self.flows.get_mut(&item.workspace) else {
            return;
        };
        flow.waiting -= 1;
        flow.cost = flow.cost.saturating_sub(item.cost);
        if flow.waiting == 0 && flow.virtual_start <= self.virtual_time {
            self.flows.swap_remove(&item.workspace);
        }
    }

    /// Takes the next item: of the flow with the earliest virtual start, the first by priority and
    /// deadline. A wait below `target` is short.
    pub fn pop(&mut self, target: Duration, now: Time) -> Option<Item> {
        let name = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.waiting > 0)
            .min_by(|(_, a), (_, b)| a.virtual_start.total_cmp(&b.virtual_start))
            .map(|(name, _)| name.clone())?;
        let item = self.take_from(&name)?;
        if now.saturating_sub(item.enqueued) < target {
            self.last_short_wait = now;
        }
        let flow = self.flows.get_mut(&name);
        if let Some(flow) = flow {
            self.virtual_time = self.virtual_time.max(flow.virtual_start);
            flow.virtual_start += item.cost.max(1) as f64 / item.weight;
        }
        self.remove_from_flow(&item);
        self.drop_idle_flows();
        Some(item)
    }

    fn take_from(&mut self, workspace: &id::Workspace) -> Option<Item> {
        let flow = self.flows.get_mut(workspace)?;
        while let Some(Reverse((_, request, attempt))) = flow.order.pop() {
            if let Some((item, _)) = self.items.swap_remove(&(request, attempt)) {
                return Some(item);
            }
        }
        None
    }

    /// Drops idle flows whose virtual start has passed, or all if nothing waits.
    fn drop_idle_flows(&mut self) {
        let time = self.virtual_time;
        if self.items.is_empty() {
            self.flows.clear();
        } else if self.flows.len() > 2 * self.items.len() + 16 {
            self.flows
                .retain(|_, flow| flow.waiting > 0 || flow.virtual_start > time);
        }
    }

    /// Removes the items that can no longer meet their deadline.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        let expired: Vec<Ticket> = self
            .items
            .values()
            .filter(|(item, _)| item.latest_start <= now)
            .map(|(item, _)| item.ticket.clone())
            .collect();
        expired.iter().filter_map(|t| self.remove(t)).collect()
    }

    /// When the next item can no longer meet its deadline.
    pub fn next_expiry(&self) -> Option<Time> {
        self.items.values().map(|(item, _)| item.latest_start).min()
    }

    /// Returns whether even the shortest wait was above the target for a whole interval.
    pub fn is_standing(&self, now: Time) -> bool {
        !self.items.is_empty() && now.saturating_sub(self.last_short_wait) > STANDING_INTERVAL
    }

    /// Records that the queue is empty or the wait short.
    pub fn record_short_wait(&mut self, now: Time) {
        self.last_short_wait = now;
    }
}

#[cfg(test)]
mod tests;
