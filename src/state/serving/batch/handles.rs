//! The handles that an endpoint has returned recently.
//!
//! A response to a call carries no id of the call. A faulty endpoint may write an
//! earlier response again, and only its handles show that it belongs to other pieces.

use {
    crate::state::{
        clock::Time,
        serving::{batch::Item, piece::Result},
    },
    siphasher::sip::SipHasher13,
    std::{
        collections::{HashMap, VecDeque},
        hash::{Hash, Hasher},
        time::Duration,
    },
};

/// Time for which a handle is remembered: longer than a connection on which an
/// earlier response may arrive is kept idle.
const LIFETIME: Duration = Duration::from_secs(15);

/// Which call a response answers, as far as its handles show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    EarlierCall,
    ThisCall,
}

/// The pieces of the handles that an endpoint has returned.
#[derive(Clone, Debug, Default)]
pub(super) struct Handles {
    by_age: VecDeque<(Time, u64)>,
    /// Hashes of the piece, by those of its handle.
    pieces: HashMap<u64, u64>,
}

impl Handles {
    /// Returns which call a response with these results answers, and remembers its
    /// handles if it is this one.
    pub(super) fn origin(&mut self, now: Time, items: &[Item], results: &[Result]) -> Origin {
        self.expire(now);
        let returned = items.iter().zip(results);
        let returned = returned.filter_map(|(item, result)| match result {
            Result::Done(handle) => {
                Some((hash(handle), hash(&(&item.request, item.stage, item.piece))))
            }
            _ => None,
        });
        let returned = returned.collect::<Vec<(u64, u64)>>();
        let belongs_to_other = |(handle, piece): &(u64, u64)| {
            let known = self.pieces.get(handle);
            known.is_some_and(|known| known != piece)
        };

        if returned.iter().any(belongs_to_other) {
            return Origin::EarlierCall;
        }

        for (handle, piece) in returned {
            if self.pieces.insert(handle, piece).is_none() {
                self.by_age.push_back((now, handle));
            }
        }

        Origin::ThisCall
    }

    fn expire(&mut self, now: Time) {
        while let Some((returned, handle)) = self.by_age.front()
            && now.since(*returned) >= LIFETIME
        {
            self.pieces.remove(handle);
            self.by_age.pop_front();
        }
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
