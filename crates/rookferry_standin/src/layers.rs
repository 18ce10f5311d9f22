//! A deterministic fake model. Its output changes if a layer is skipped, repeated,
//! run out of order, or run on the KV of another stream.
//!
//! The KV of a layer is one number per position: a hash of the layer's KV at the
//! previous position, the input activation, the layer index and the position. It is
//! also the activation that is passed to the next layer. `reference_answer` computes
//! the expected output with a plain loop over all layers.

/// Number of distinct output tokens; the last layer's activation is reduced modulo it.
pub const VOCABULARY_SIZE: u64 = 50_021;

/// Runs one layer at one position; `previous` is its KV at the previous position, 0 at
/// the first. Returns the KV, which is also the output activation.
#[must_use]
pub const fn run_layer(previous: u64, activation: u64, layer: u16, position: u32) -> u64 {
    let layer_position = ((layer as u64) << 32) | position as u64;
    mix(mix(previous ^ layer_position.wrapping_mul(0x9e37_79b9_7f4a_7c15)) ^ activation)
}

/// Converts the last layer's activation to a token.
#[must_use]
pub const fn final_token(activation: u64) -> u64 {
    activation % VOCABULARY_SIZE
}

/// The tokens that a model with `layers` layers generates for a prompt.
#[must_use]
pub fn reference_answer(layers: u16, prompt: &[u64], max_tokens: u32) -> Vec<u64> {
    let mut kv = vec![0; usize::from(layers)];
    let mut answer = Vec::new();
    let mut position = 0;
    let mut run = |token: u64, kv: &mut Vec<u64>| {
        let mut activation = token;
        for layer in 0..layers {
            let slot = &mut kv[usize::from(layer)];
            *slot = run_layer(*slot, activation, layer, position);
            activation = *slot;
        }
        position += 1;
        final_token(activation)
    };
    let mut next = 0;
    for token in prompt {
        next = run(*token, &mut kv);
    }
    for _ in 0..max_tokens {
        answer.push(next);
        next = run(next, &mut kv);
    }
    answer
}

/// Hash of a prompt that identifies it in ledgers.
#[must_use]
pub fn prompt_digest(prompt: &[u64]) -> u64 {
    prompt
        .iter()
        .fold(prompt.len() as u64, |digest, token| mix(digest ^ token))
}

/// Finalizer of `SplitMix64`.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
