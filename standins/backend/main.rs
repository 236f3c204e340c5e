//! Simulated backend server for tests and benchmarks, with fault injection over HTTP.

mod announcer;
mod command_line;
mod control_request;
mod execution_log;
mod execution_record;
mod exit_signal;
mod fault_injector;
mod instance_handler;
mod instance_listener;
mod instance_spec;
mod instance_state;
mod load_report;
mod response_builder;
mod server_fault;
mod service_time;
mod slot_pool;

use std::io;
use std::process::ExitCode;
use std::rc::Rc;

use futures_util::future::join_all;
use wagtailtrack::exit::ExitStatus;

use crate::command_line::CommandLine;
use crate::instance_listener::InstanceListener;
use crate::instance_spec::InstanceSpec;
use crate::instance_state::InstanceState;

fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    match actix_rt::System::new().block_on(run(&line)) {
        Ok(()) => ExitStatus::Success.into(),
        Err(cause) => {
            eprintln!("standin-backend: {cause}");
            ExitStatus::Failure.into()
        }
    }
}

async fn run(line: &CommandLine) -> io::Result<()> {
    let mut instances = Vec::new();
    for spec in InstanceSpec::from_command_line(line) {
        instances.push(open_instance(spec).await?);
    }
    println!("ready");
    exit_signal::wait().await?;
    join_all(instances.iter().map(|(state, _)| state.drain())).await;
    Ok(())
}

async fn open_instance(spec: InstanceSpec) -> io::Result<(Rc<InstanceState>, InstanceListener)> {
    let listen = spec.listen;
    let announce = spec.announce;
    let state = InstanceState::open(spec);
    let listener = InstanceListener::bind(listen, Rc::clone(&state)).await?;
    if let Some(announce) = announce {
        announcer::spawn(Rc::clone(&state), announce, listener.address());
    }
    Ok((state, listener))
}
