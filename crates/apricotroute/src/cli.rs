//! The command line: arguments, help and exit codes.

use std::{ffi, io, net, path, process, sync, sync::atomic, thread, time};

use error_stack::ResultExt as _;
use serde_json::Value;
use state::{boot, id, locate, name, node as node_file};

use crate::{
    demo, demo_platform, error, explain, help, instance, load, logs, losses, node, options, output,
    remote, standin, status,
};

/// The arguments of one command.
type Arguments = pico_args::Arguments;

/// The exit code of a command, or its error.
type Outcome = error::Result<process::ExitCode>;

/// Exit code for invalid arguments and files.
const USAGE: u8 = 2;

/// Runs the command line.
pub fn run(arguments: Vec<ffi::OsString>) -> process::ExitCode {
    let mut arguments = Arguments::from_vec(arguments);
    let command = arguments.subcommand().unwrap_or_default();
    let (help, run): (&str, fn(Arguments) -> Outcome) = match command.as_deref() {
        None => return no_command(arguments),
        Some("serve") => (help::SERVE, serve),
        Some("node") => (help::NODE, run_node),
        Some("check") => (help::CHECK, check),
        Some("demo") => (help::DEMO, demo),
        Some("submit") => (help::SUBMIT, submit),
        Some("job") => (help::JOB, job),
        Some("settings") => (help::SETTINGS, settings),
        Some("status") => (help::STATUS, show_status),
        Some("explain") => (explain::HELP, explain_request),
        Some("losses") => (losses::HELP, show_losses),
        Some("load") => (load::HELP, run_load),
        Some("upstream") => (help::UPSTREAM, upstream),
        Some(other) => {
            eprintln!("apricotroute: unknown command {other:?}; see apricotroute --help");
            return process::ExitCode::from(USAGE);
        }
    };
    if arguments.contains(["-h", "--help"]) {
        output::text(help);
        return process::ExitCode::SUCCESS;
    }
    run(arguments).unwrap_or_else(|report| {
        eprintln!("apricotroute: {}", error::line(&report));
        process::ExitCode::from(USAGE)
    })
}

fn no_command(mut arguments: Arguments) -> process::ExitCode {
    if arguments.contains(["-h", "--help"]) {
        output::text(help::ALL);
        return process::ExitCode::SUCCESS;
    }
    if arguments.contains(["-V", "--version"]) {
        output::line(concat!("apricotroute ", env!("CARGO_PKG_VERSION")));
        return process::ExitCode::SUCCESS;
    }
    match arguments.finish().first() {
        Some(other) => eprintln!("apricotroute: unknown argument {}", other.display()),
        None => eprintln!("apricotroute: no command; see apricotroute --help"),
    }
    process::ExitCode::from(USAGE)
}

/// Parses the next positional argument; `name` is used in the error.
fn positional(arguments: &mut Arguments, name: &'static str) -> error::Result<String> {
    let value = arguments.free_from_str();
    value.change_context_lazy(|| error::Error::new("read argument", name))
}

/// Parses a settings file, or prints its errors and returns the exit code.
fn parse_file<T>(
    path: &path::Path,
    parse: impl FnOnce(&str) -> Result<T, Vec<locate::Fault>>,
) -> error::Result<Result<T, process::ExitCode>> {
    let text = demo::read(path)?;
    Ok(parse(&text).map_err(|faults| {
        for fault in faults {
            eprintln!("{}: {fault}", path.display());
        }
        process::ExitCode::from(USAGE)
    }))
}

fn check(mut arguments: Arguments) -> Outcome {
    let file = positional(&mut arguments, "FILE")?;
    options::finish(arguments)?;
    let parse = |text: &str| {
        if node_file::Node::has_role(text) {
            node_file::Node::parse(text).map(drop)
        } else {
            boot::Boot::parse(text).map(drop)
        }
    };
    Ok(match parse_file(path::Path::new(&file), parse)? {
        Ok(()) => {
            output::line(format_args!("{file}: ok"));
            process::ExitCode::SUCCESS
        }
        Err(code) => code,
    })
}

fn serve(mut arguments: Arguments) -> Outcome {
    let file = options::required(&mut arguments, "--settings")?;
    options::finish(arguments)?;
    let boot = match parse_file(path::Path::new(&file), boot::Boot::parse)? {
        Ok(boot) => boot,
        Err(code) => return Ok(code),
    };
    let (log, guard) = logs::logger(&boot.log, boot.instance.as_str());
    let stopped = signals()?;
    let instance = instance::Instance::start(&boot, log)?;
    wait(&stopped);
    instance.stop();
    logs::flush(guard);
    Ok(process::ExitCode::SUCCESS)
}

fn run_node(mut arguments: Arguments) -> Outcome {
    let signals = node::signals()?;
    let file = options::required(&mut arguments, "--settings")?;
    options::finish(arguments)?;
    let path = path::Path::new(&file);
    let node = match parse_file(path, node_file::Node::parse)? {
        Ok(node) => node,
        Err(code) => return Ok(code),
    };
    let (log, guard) = logs::logger_to(io::stdout(), &node.log, node.instance.as_str());
    node::run(path, &node, signals, &log)?;
    drop(log);
    logs::flush(guard);
    Ok(process::ExitCode::SUCCESS)
}

/// Registers handlers for SIGTERM and SIGINT and returns the flag that they set.
fn signals() -> error::Result<sync::Arc<atomic::AtomicBool>> {
    let flag = sync::Arc::new(atomic::AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, sync::Arc::clone(&flag))
            .change_context_lazy(|| error::Error::new("register signal", signal))?;
    }
    Ok(flag)
}

/// Waits until the flag is set.
fn wait(flag: &atomic::AtomicBool) {
    const PAUSE: time::Duration = time::Duration::from_millis(50);
    while !flag.load(atomic::Ordering::Relaxed) {
        thread::sleep(PAUSE);
    }
}

fn demo(mut arguments: Arguments) -> Outcome {
    let on_platform = arguments.contains("--platform");
    options::finish(arguments)?;
    output::line(if on_platform { demo_platform::run()? } else { demo::run()? });
    Ok(process::ExitCode::SUCCESS)
}

fn submit(mut arguments: Arguments) -> Outcome {
    let remote = remote::Remote::new(&options::required(&mut arguments, "--to")?);
    let job: Option<String> = arguments
        .opt_value_from_str("--job")
        .change_context_lazy(|| error::Error::new("read argument", "--job"))?;
    let zone: String = options::option(&mut arguments, "--zone", "west".to_owned())?;
    let file = positional(&mut arguments, "FILE")?;
    options::finish(arguments)?;
    let text = if file == "-" {
        std::io::read_to_string(std::io::stdin())
            .change_context_lazy(|| error::Error::new("read", "standard input"))?
    } else {
        demo::read(path::Path::new(&file))?
    };
    let mut body: Value = serde_json::from_str(&text)
        .change_context_lazy(|| error::Error::new("read job file", &file))?;
    if let Some(map) = body.as_object_mut() {
        if let Some(job) = job {
            map.insert("job".to_owned(), job.into());
        } else if !map.contains_key("job") {
            let job = id::JobId::generate(&name::Name::new(&zone)).to_string();
            map.insert("job".to_owned(), job.into());
        }
    }
    let answer = remote.post("/v1/jobs", body.to_string().as_bytes())?;
    output::line(&answer.body);
    Ok(job_exit_code(&answer))
}

/// Returns the exit code for the state of a job.
fn job_exit_code(answer: &remote::Response) -> process::ExitCode {
    const FAILED: u8 = 1;
    const NOT_RUN: u8 = 3;
    const UNKNOWN: u8 = 4;
    let code = match answer.json()["state"].as_str() {
        Some("complete" | "running") => 0,
        Some("failed") => FAILED,
        Some("not_run") => NOT_RUN,
        _ => UNKNOWN,
    };
    process::ExitCode::from(code)
}

fn job(mut arguments: Arguments) -> Outcome {
    let remote = remote::Remote::new(&options::required(&mut arguments, "--to")?);
    let action = positional(&mut arguments, "show|cancel")?;
    let job = positional(&mut arguments, "ID")?;
    options::finish(arguments)?;
    let path = format!("/v1/jobs/{job}");
    let answer = match action.as_str() {
        "show" => remote.get(&path)?,
        "cancel" => remote.delete(&path)?,
        _ => {
            return Err(error_stack::Report::new(error::Error::new("unknown action", action)));
        }
    };
    output::line(&answer.body);
    Ok(job_exit_code(&answer))
}

fn settings(mut arguments: Arguments) -> Outcome {
    let remote = remote::Remote::new(&options::required(&mut arguments, "--to")?);
    let base: Option<u64> = arguments
        .opt_value_from_str("--base")
        .change_context_lazy(|| error::Error::new("read argument", "--base"))?;
    let change: String =
        options::option(&mut arguments, "--change", uuid::Uuid::now_v7().to_string())?;
    let action = positional(&mut arguments, "get|set|log")?;
    let answer = match action.as_str() {
        "get" => {
            let path = arguments.opt_free_from_str::<String>().ok().flatten().unwrap_or_default();
            options::finish(arguments)?;
            remote.get(&format!("/v1/settings/{}", path.trim_matches('/')))?
        }
        "set" => {
            let path = positional(&mut arguments, "PATH")?;
            let json = positional(&mut arguments, "JSON")?;
            options::finish(arguments)?;
            let values: Value = serde_json::from_str(&json)
                .change_context_lazy(|| error::Error::new("read JSON", &json))?;
            let body = serde_json::json!({"base": base, "change": change, "values": values});
            let path = format!("/v1/settings/{}", path.trim_matches('/'));
            remote.put(&path, body.to_string().as_bytes())?
        }
        "log" => {
            options::finish(arguments)?;
            remote.get("/v1/changes")?
        }
        _ => {
            return Err(error_stack::Report::new(error::Error::new("unknown action", action)));
        }
    };
    output::line(&answer.body);
    Ok(exit_code(&answer))
}

/// Returns success for status 200, otherwise the exit code for the state in the response.
fn exit_code(answer: &remote::Response) -> process::ExitCode {
    if answer.status == 200 { process::ExitCode::SUCCESS } else { job_exit_code(answer) }
}

fn show_status(mut arguments: Arguments) -> Outcome {
    let remote = remote::Remote::new(&options::required(&mut arguments, "--to")?);
    let json = arguments.contains("--json");
    options::finish(arguments)?;
    let answer = remote.get("/v1/status")?;
    if json || answer.status != 200 {
        output::line(&answer.body);
    } else {
        output::text(status::text(&answer.json()));
    }
    Ok(exit_code(&answer))
}

fn show_losses(mut arguments: Arguments) -> Outcome {
    const WINDOW: u32 = 2;
    let window = options::option(&mut arguments, "--window", WINDOW)?;
    output::text(losses::Losses::read(&file_arguments(arguments)?, window)?);
    Ok(process::ExitCode::SUCCESS)
}

/// Returns the remaining arguments as file paths; at least one is required.
fn file_arguments(arguments: Arguments) -> error::Result<Vec<path::PathBuf>> {
    let files: Vec<_> = arguments.finish().into_iter().map(path::PathBuf::from).collect();
    if files.is_empty() {
        return Err(error_stack::Report::new(error::Error::new("read argument", "FILE")));
    }
    Ok(files)
}

fn explain_request(mut arguments: Arguments) -> Outcome {
    const NOT_FOUND: u8 = 1;
    let id = positional(&mut arguments, "ID")?;
    let timeline = explain::Timeline::read(&id, &file_arguments(arguments)?)?;
    output::text(&timeline);
    Ok(process::ExitCode::from(if timeline.is_empty() { NOT_FOUND } else { 0 }))
}

fn run_load(mut arguments: Arguments) -> Outcome {
    let options = load::options(&mut arguments)?;
    options::finish(arguments)?;
    output::line(load::run(&options)?);
    Ok(process::ExitCode::SUCCESS)
}

fn upstream(mut arguments: Arguments) -> Outcome {
    let count = options::option(&mut arguments, "--count", 0)?;
    let odd = options::option(&mut arguments, "--odd", 0)?;
    let odd_time = time::Duration::from_millis(options::option(&mut arguments, "--odd-ms", 0)?);
    let options = upstream_options(&mut arguments)?;
    options::finish(arguments)?;
    let stopped = signals()?;
    let runtime = standin::runtime()?;
    let (mut upstreams, mut addresses, mut threads) = (Vec::new(), Vec::new(), Vec::new());
    for options in stand_in_options(&options, count, odd, odd_time) {
        let upstream = standin::Standin::start(options, &runtime)?;
        addresses.push(upstream.address().to_string());
        upstreams.push(upstream);
    }
    output::line(addresses.join(" "));
    for upstream in upstreams {
        let stopped = sync::Arc::clone(&stopped);
        threads.push(thread::spawn(move || {
            upstream.announce(|| stopped.load(atomic::Ordering::Relaxed));
            upstream.drain();
        }));
    }
    for thread in threads {
        drop(thread.join());
    }
    Ok(process::ExitCode::SUCCESS)
}

/// Returns the options of each stand-in. If `odd` is not 0, only the first `odd` of them keep the
/// mode of `options`, and the others complete their tasks. A nonzero `odd_time` is the service time
/// of all that keep the mode.
fn stand_in_options(
    options: &standin::Options,
    count: usize,
    odd: usize,
    odd_time: time::Duration,
) -> Vec<standin::Options> {
    let numbered = |number: usize| {
        let mut options = options.clone();
        if count > 0 {
            options.name = format!("{}-{number}", options.name);
        }
        if odd > 0 && number > odd {
            options.mode = standin::Mode::Answer;
        } else if !odd_time.is_zero() {
            options.service_time = odd_time;
        }
        options
    };
    (1..=count.max(1)).map(numbered).collect()
}

/// Parses the options that all stand-ins of the command share.
fn upstream_options(arguments: &mut Arguments) -> error::Result<standin::Options> {
    let context = |key: &'static str| move || error::Error::new("read argument", key);
    let to = options::required(arguments, "--to")?;
    let mode: String = options::option(arguments, "--mode", "answer".to_owned())?;
    let mode = match mode.as_str() {
        "answer" => standin::Mode::Answer,
        "fail" => standin::Mode::Fail,
        "hang" => standin::Mode::Hang,
        "refuse" => standin::Mode::Refuse,
        _ => {
            return Err(error_stack::Report::new(error::Error::new("unknown mode", mode)));
        }
    };
    let cores = arguments.opt_value_from_str("--cores").change_context_lazy(context("--cores"))?;
    let memory =
        arguments.opt_value_from_str("--memory-mb").change_context_lazy(context("--memory-mb"))?;
    let accelerators = arguments
        .opt_value_from_str("--accelerators")
        .change_context_lazy(context("--accelerators"))?;
    Ok(standin::Options {
        name: options::option(arguments, "--name", "u1".to_owned())?,
        service: options::option(arguments, "--service", "polish-board".to_owned())?,
        zone: options::option(arguments, "--zone", "west".to_owned())?,
        listen: options::option(arguments, "--listen", net::SocketAddr::from(([127, 0, 0, 1], 0)))?,
        instances: to.split(',').map(str::to_owned).collect(),
        slots: options::option(arguments, "--slots", 8)?,
        service_time: time::Duration::from_millis(options::option(arguments, "--service-ms", 50)?),
        tail: options::option(arguments, "--tail", 0)?,
        mode,
        log: arguments.opt_value_from_str("--log").change_context_lazy(context("--log"))?,
        capacity: (cores, memory, accelerators),
    })
}
