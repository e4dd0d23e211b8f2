//! Platform stand-in as a program; the first line it prints is `listening ADDRESS`.

use {
    clap::{Arg, Command},
    cowslip_standins::platform::serve,
    eyre::{Result, eyre},
    tokio::net::TcpListener,
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let listen = Arg::new("listen")
        .long("listen")
        .default_value("127.0.0.1:0")
        .help("Address to listen on");
    let matches = Command::new("standin-platform").arg(listen).get_matches();
    let address = matches
        .get_one::<String>("listen")
        .ok_or_else(|| eyre!("no address to listen on"))?;
    let handle = serve(TcpListener::bind(address.as_str()).await?)?;
    println!("listening {}", handle.address());
    tokio::signal::ctrl_c().await?;
    Ok(())
}
