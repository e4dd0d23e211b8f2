//! Entry point of `cowslipctl`.

use std::process::ExitCode;

fn main() -> eyre::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let exit_status = runtime.block_on(cowslipctl::commands::run(std::env::args_os()))?;
    Ok(ExitCode::from(exit_status.code()))
}
