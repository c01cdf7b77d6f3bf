//! The queue of a pool: strict priority between classes with guaranteed shares,
//! weighted fair queueing between teams, earliest deadline first within a team.

use {
    crate::state::{clock::Time, id},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

/// Virtual time per microsecond of work for a team or class of weight 1.
const TAG_SCALE: u64 = 1000;

/// Maximum number of empty classes whose tags are kept.
const IDLE_CLASSES: usize = 64;

/// The key of an item within its team: its deadline, then its order of arrival.
pub type Position = (Time, u64);

/// A queued stage of a request.
#[derive(Clone, Debug)]
pub struct Item {
    /// Estimated service time.
    pub cost: Duration,
    pub enqueued: Time,
    pub request: id::Request,
    pub stage: usize,
}

/// The class and team that an item is queued under, with their settings.
#[derive(Clone, Debug)]
pub struct Flow {
    pub class: id::Class,
    pub priority: u8,
    /// Percentage of the pool guaranteed to the class while it has queued
    /// items.
    pub share: u8,
    pub team: id::Team,
    pub weight: u32,
}

#[derive(Debug)]
struct Team {
    items: BTreeMap<Position, Item>,
    tag: u64,
    weight: u32,
}

/// Tags of teams without queued items that are still ahead of the class's
/// virtual time. A team that queues again continues from its tag.
#[derive(Debug, Default)]
struct RetainedTags {
    order: BTreeSet<(u64, id::Team)>,
    tags: HashMap<id::Team, u64>,
}

impl RetainedTags {
    /// Drops the tags that `virtual_time` has reached.
    fn drop_reached(&mut self, virtual_time: u64) {
        while let Some((tag, _)) = self.order.first()
            && *tag <= virtual_time
            && let Some((_, team)) = self.order.pop_first()
        {
            self.tags.remove(&team);
        }
    }

    fn insert(&mut self, team: id::Team, tag: u64) {
        self.order.insert((tag, team.clone()));
        self.tags.insert(team, tag);
    }

    fn remove(&mut self, team: &id::Team) -> u64 {
        let tag = self.tags.remove(team).unwrap_or(0);
        self.order.remove(&(tag, team.clone()));
        tag
    }
}

#[derive(Debug, Default)]
struct Class {
    retained_tags: RetainedTags,
    /// Virtual time of this class among the classes of the same priority; the
    /// lowest is served first.
    turn_tag: u64,
    /// Virtual time within the class: the highest tag of a team when it was
    /// served.
    virtual_time: u64,
    order: BTreeSet<(u64, id::Team)>,
    share: u8,
    /// Amount of the pool's served work, in microseconds, up to which the class
    /// has received its share. The share is due while this does not exceed
    /// `served`.
    share_tag: u64,
    teams: HashMap<id::Team, Team>,
    weight: u64,
}

type Key = (u8, id::Class);

/// The queue of one pool. `push`, `pop` and `remove` take logarithmic time in
/// the number of classes, teams and items.
#[derive(Debug, Default)]
pub struct FairQueue {
    classes: BTreeMap<Key, Class>,
    /// Virtual time of each priority: the tag of the class served last.
    virtual_times: BTreeMap<u8, u64>,
    /// Classes without items, the longest idle first.
    idle: VecDeque<Key>,
    len: usize,
    /// Classes with items and a share, by `share_tag`: the first is the one
    /// whose share has been due for longest.
    share_order: BTreeSet<(u64, Key)>,
    /// Classes with items, by descending priority and then by `turn_tag`.
    ready: BTreeSet<(Reverse<u8>, u64, id::Class)>,
    /// Total work served, in microseconds.
    served: u64,
}

impl FairQueue {
    /// Returns whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Iterates over all items by ascending priority, class and team tag, and
    /// by deadline within a team.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.classes
            .values()
            .flat_map(|class| class.order.iter().map(|(_, team)| &class.teams[team]))
            .flat_map(|team| team.items.values())
    }

    /// Returns the item to serve next.
    pub fn peek(&self) -> Option<&Item> {
        let key = self.next()?;
        let class = &self.classes[&key];
        let team = &class.order.first()?.1;
        class.teams[team].items.values().next()
    }

    /// Removes the item to serve next and charges its cost to its team and
    /// class.
    pub fn pop(&mut self) -> Option<Item> {
        let key = self.next()?;
        let class = self.classes.get_mut(&key)?;
        let (tag, name) = class.order.first()?.clone();
        let team = class.teams.get_mut(&name)?;
        let position = *team.items.first_key_value()?.0;
        let weight = u64::from(team.weight.max(1));
        let cost = cost_micros(team.items[&position].cost);

        class.virtual_time = class.virtual_time.max(tag);
        class.order.remove(&(tag, name.clone()));
        team.tag = tag + cost * TAG_SCALE / weight;
        class.order.insert((team.tag, name.clone()));
        self.charge(&key, cost);
        self.remove_item(&key, &name, position)
    }

    /// Adds an item. A class or team that was empty starts no earlier than the
    /// current virtual time.
    pub fn push(&mut self, flow: &Flow, position: Position, item: Item) {
        let key = (flow.priority, flow.class.clone());
        let turn = self.virtual_times.get(&flow.priority).copied().unwrap_or(0);
        self.unindex_class(&key);
        let class = self.classes.entry(key.clone()).or_default();

        if class.teams.is_empty() {
            self.idle.retain(|idle| *idle != key);
            class.turn_tag = class.turn_tag.max(turn);
            class.share_tag = class.share_tag.max(self.served);
            class.share = flow.share;
        }

        class.share = class.share.max(flow.share);

        if let Some(team) = class.teams.get_mut(&flow.team) {
            team.items.insert(position, item);
        } else {
            class.weight += u64::from(flow.weight.max(1));
            class.retained_tags.drop_reached(class.virtual_time);
            let tag = class
                .retained_tags
                .remove(&flow.team)
                .max(class.virtual_time);
            class.order.insert((tag, flow.team.clone()));
            class.teams.insert(
                flow.team.clone(),
                Team {
                    items: BTreeMap::from([(position, item)]),
                    tag,
                    weight: flow.weight.max(1),
                },
            );
        }

        self.len += 1;
        self.index_class(&key);
    }

    /// Returns whether the next item is served because its class has not
    /// received its guaranteed share.
    pub fn next_has_guaranteed_share(&self) -> bool {
        let first = self.share_order.first();
        first.is_some_and(|(share_tag, _)| *share_tag <= self.served)
    }

    /// Removes an item without charging its cost.
    pub fn remove(&mut self, flow: &Flow, position: Position) -> Option<Item> {
        self.remove_item(&(flow.priority, flow.class.clone()), &flow.team, position)
    }

    /// Adds `cost` microseconds of work to a class and to the pool.
    fn charge(&mut self, key: &Key, cost: u64) {
        self.unindex_class(key);

        if let Some(class) = self.classes.get_mut(key) {
            self.virtual_times.insert(key.0, class.turn_tag);
            class.turn_tag += cost * TAG_SCALE / class.weight.max(1);

            // Work that is served while the share is not due raises `share_tag`
            // and `served` alike, so it neither uses up the share nor adds to
            // it. A share that is due counts from `served`: if unused share
            // accumulated, a class could take the whole pool for a while.
            class.share_tag = match class.share {
                0 => class.share_tag,
                share if class.share_tag <= self.served => {
                    self.served + cost * 100 / u64::from(share)
                }
                _ => class.share_tag + cost,
            };
        }

        self.served += cost;
        self.index_class(key);
    }

    fn index_class(&mut self, key: &Key) {
        if let Some(class) = self.classes.get(key) {
            self.ready
                .insert((Reverse(key.0), class.turn_tag, key.1.clone()));

            if class.share > 0 {
                self.share_order.insert((class.share_tag, key.clone()));
            }
        }
    }

    /// Returns the class to serve: the one whose share has been due for
    /// longest, or else the most urgent one.
    fn next(&self) -> Option<Key> {
        if let Some((share_tag, key)) = self.share_order.first()
            && *share_tag <= self.served
        {
            return Some(key.clone());
        }

        let (priority, _, class) = self.ready.first()?;
        Some((priority.0, class.clone()))
    }

    /// Keeps the tags of a class that became empty. Beyond `IDLE_CLASSES`,
    /// drops the class that has been empty for longest.
    fn mark_idle(&mut self, key: &Key) {
        if !self.idle.contains(key) {
            self.idle.push_back(key.clone());
        }

        if self.idle.len() > IDLE_CLASSES
            && let Some(oldest) = self.idle.pop_front()
        {
            self.classes.remove(&oldest);
        }
    }

    fn remove_item(&mut self, key: &Key, name: &id::Team, position: Position) -> Option<Item> {
        let class = self.classes.get_mut(key)?;
        let team = class.teams.get_mut(name)?;
        let item = team.items.remove(&position)?;
        self.len -= 1;

        if team.items.is_empty() {
            let entry = (team.tag, name.clone());
            class.weight -= u64::from(team.weight);
            class.order.remove(&entry);
            class.teams.remove(name);
            class.retained_tags.drop_reached(class.virtual_time);

            if entry.0 > class.virtual_time {
                class.retained_tags.insert(entry.1, entry.0);
            }
        }

        if class.teams.is_empty() {
            self.unindex_class(key);
            self.mark_idle(key);
        }

        Some(item)
    }

    fn unindex_class(&mut self, key: &Key) {
        if let Some(class) = self.classes.get(key) {
            self.ready
                .remove(&(Reverse(key.0), class.turn_tag, key.1.clone()));
            self.share_order.remove(&(class.share_tag, key.clone()));
        }
    }
}

fn cost_micros(duration: Duration) -> u64 {
    // At least 1, so that work without an estimate is charged too.
    u64::try_from(duration.as_micros())
        .unwrap_or(u64::MAX)
        .clamp(1, 1 << 40)
}
