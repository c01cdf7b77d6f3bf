//! What is known of one engine.

use {
    crate::state::{
        clock::Time,
        serving::{
            balance::{Prompt, room::Room, speed::Speed},
            health::Health,
        },
    },
    std::collections::HashMap,
};

/// The state of one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    /// Tokens and last use of the prefixes that the engine has read.
    pub cached: HashMap<u64, (u32, Time)>,
    pub cached_tokens: u64,
    pub health: Health,
    pub incarnation: u64,
    pub leaving: bool,
    /// Whether the engine was lost with its requests.
    pub lost: bool,
    /// Tokens that the engine still has to read.
    pub pending: u64,
    pub room: Room,
    pub speed: Speed,
}

impl Engine {
    /// Returns whether prompts go to the engine as long as it has room.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.leaving && !self.health.is_paused(now)
    }

    /// Returns the number of the prompt's tokens that the engine has to read.
    pub fn unread(&self, prompt: &Prompt) -> u64 {
        let parts = prompt.parts.iter();
        let unread = parts.skip_while(|part| self.cached.contains_key(&part.prefix));
        unread.map(|part| u64::from(part.tokens)).sum()
    }

    /// Adds the prompt's parts to the cached prefixes and drops the least
    /// recently used ones above `limit` tokens.
    pub fn remember(&mut self, now: Time, prompt: &Prompt, limit: u64) {
        for part in &prompt.parts {
            let known = self.cached.insert(part.prefix, (part.tokens, now));
            let known = known.map_or(0, |(tokens, _)| u64::from(tokens));
            self.cached_tokens += u64::from(part.tokens);
            self.cached_tokens -= known;
        }

        if self.cached_tokens <= limit {
            return;
        }

        let mut by_use = self
            .cached
            .iter()
            .map(|(prefix, (tokens, used))| (*used, *prefix, *tokens))
            .collect::<Vec<(Time, u64, u32)>>();
        by_use.sort_unstable();

        for (_, prefix, tokens) in by_use {
            if self.cached_tokens <= limit {
                return;
            }

            self.cached.remove(&prefix);
            self.cached_tokens -= u64::from(tokens);
        }
    }
}
