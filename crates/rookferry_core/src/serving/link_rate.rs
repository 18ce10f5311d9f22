//! Rate limit for prompts that are sent over the link between failure domains.
//!
//! Load pattern: no failure domain holds all layers any more, so every stream crosses the
//! link that all domains share, and the activations of each prompt fill it for tens or
//! hundreds of milliseconds. Without a limit all of them stall together until their
//! callers disconnect. So each instance uses an equal share of the link's time, and a
//! request beyond it is refused at once with the time after which to retry.

use std::time::Duration;
use std::time::Instant;

/// Share of the link's time for prompts; the rest is for tokens and for paths that are
/// repaired.
const PROMPT_SHARE: f64 = 0.8;
/// Milliseconds of link time per second.
const LINK_MS_PER_S: f64 = 1_000.0;

/// An instance's rate limit on the link.
#[derive(Clone, Copy, Debug)]
pub struct LinkRateLimiter {
    /// Spreads the first prompts of instances that start together, 0 to 1.
    chance: f64,
    /// Link time that is left to use, in milliseconds; negative while it is owed.
    left_ms: f64,
    at: Option<Instant>,
}

impl LinkRateLimiter {
    /// Nothing sent yet. `chance`, from 0 to 1, is the instance's own.
    #[must_use]
    pub const fn new(chance: f64) -> Self {
        Self {
            chance: chance.clamp(0.0, 1.0),
            left_ms: 0.0,
            at: None,
        }
    }

    /// Reserves the link time of a prompt; `instances` share the link.
    ///
    /// # Errors
    ///
    /// Time until the link is available, if it isn't now.
    pub fn reserve(
        &mut self,
        needed_ms: f64,
        instances: usize,
        now: Instant,
    ) -> Result<(), Duration> {
        let regained_per_s = PROMPT_SHARE * LINK_MS_PER_S / instances.max(1) as f64;
        match self.at {
            None => self.left_ms = -needed_ms * self.chance,
            Some(at) => {
                let since_s = now.saturating_duration_since(at).as_secs_f64();
                // Unused time isn't saved up: other instances have used it.
                self.left_ms = (self.left_ms + regained_per_s * since_s).min(0.0);
            }
        }
        self.at = Some(now);
        if self.left_ms < 0.0 {
            let wait_s = -self.left_ms / regained_per_s;
            return Err(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX));
        }
        self.left_ms -= needed_ms;
        Ok(())
    }
}
