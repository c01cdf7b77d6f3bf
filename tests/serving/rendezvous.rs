//! Hashes on which all hosts of a fleet have to agree, whatever build they run.
//! Guards against a dependency or a compiler that changes them.

use persimmoncleat::state::{rendezvous, request};

macro_rules! weights {
    ($($name:ident: $key:expr, $candidate:expr => $weight:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(rendezvous::weight(&$key, &$candidate), $weight);
            }
        )*
    };
}

weights! {
    weight_of_a_host_for_a_service: "tide-tables", "h1" => 1_028_204_550_402_382_646;
    weight_of_an_endpoint_for_a_session: 0x1234_5678_9abc_def0_u64, "i-7f3a91c2" => 17_295_337_134_854_606_709;
}

#[test]
fn hash_of_a_prompt_prefix() {
    assert_eq!(request::prefix_hash("moon-1"), 17_515_225_042_883_609_097);
}
