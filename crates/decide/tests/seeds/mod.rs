//! Number of seeds for the simulations.

/// Returns the value of `COWSLIP_FUZZ_SEEDS`, or `default` if it is not set to a number.
pub fn count(default: u64) -> u64 {
    let setting = std::env::var("COWSLIP_FUZZ_SEEDS").ok();
    setting.and_then(|it| it.parse().ok()).unwrap_or(default)
}
