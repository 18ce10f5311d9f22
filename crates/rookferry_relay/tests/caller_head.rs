//! What a caller's headers say of its request.

use rookferry_relay::CallerHead;
use rstest::rstest;

#[rstest]
#[case::guessed(Some(40), 120.0)]
#[case::guessed_beyond_the_most(Some(4_000), 400.0)]
#[case::not_guessed(None, 400.0)]
fn a_request_holds_its_prompt_and_half_of_the_answer_that_is_expected(
    #[case] expected_answer_tokens: Option<u32>,
    #[case] held_tokens: f64,
) {
    let head = CallerHead {
        prompt_tokens: 100,
        answer_tokens: 600,
        expected_answer_tokens,
        ..CallerHead::default()
    };
    assert!((head.held_tokens() - held_tokens).abs() < f64::EPSILON);
}
