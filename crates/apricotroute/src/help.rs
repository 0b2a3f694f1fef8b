//! The `--help` texts of the commands. `explain`, `losses` and `load` keep theirs in the modules of
//! the commands, beside the options.

/// Overview of all commands.
pub const ALL: &str = "\
apricotroute: a dispatcher for tasks shorter than a second

  serve --settings FILE          run one instance until SIGTERM or SIGINT
  node --settings FILE           run one instance that discovers the others through seeds
  check FILE                     check a bootstrap file
  demo                           run one job on an instance inside this process
  submit --to IP:PORT FILE       submit a job file and print its answer
  job --to IP:PORT show ID       print the state of a job; `cancel ID` cancels it
  settings --to IP:PORT get PATH read settings; also `set PATH JSON` and `log`
  status --to IP:PORT            groups, members, upstreams, shares and queues
  explain ID FILE...             show the decisions about one request, from several logs
  losses FILE...                 count lost requests by cause and time, from such logs
  load --to IP:PORT[,...]        generate open-loop load and measure response times over the ideal
  upstream --to IP:PORT[,...]    run a stand-in upstream for trials and tests

`apricotroute COMMAND --help` describes a command. Exit code 2: an argument or a file is invalid.
";

/// `serve`.
pub const SERVE: &str = "\
apricotroute serve --settings FILE

Runs one instance in the foreground. On SIGTERM or SIGINT it finishes all work in progress before
it exits, for `drain_ms` of the settings file at most; a second signal does not shorten that.
";

/// `node`.
pub const NODE: &str = "\
apricotroute node --settings FILE

Runs one instance of a system on the users' platform in the foreground, as an entry or a keeper
according to its settings file. SIGHUP reads the file again; on SIGTERM or SIGINT the instance
finishes all work in progress before it exits.
";

/// `check`.
pub const CHECK: &str = "\
apricotroute check FILE

Checks a bootstrap file. Exit code 0, or 2 and a list of all errors, each with its JSON path, line
and reason.
";

/// `demo`.
pub const DEMO: &str = "\
apricotroute demo [--platform]

Runs one instance with stand-in upstreams inside this process, submits one job and prints its
answer as JSON.

  --platform   run a keeper, an entry and upstreams that use the API of the users' platform
";

/// `submit`.
pub const SUBMIT: &str = "\
apricotroute submit --to IP:PORT [--job ID] FILE

Submits the job in FILE (`-` = standard input) at an instance's client address. If neither FILE nor
--job gives an id, a new one is generated for the zone in --zone NAME. Prints the answer.
Exit code 0 = complete, 1 = failed, 3 = not run, 4 = unknown.
";

/// `job`.
pub const JOB: &str = "\
apricotroute job --to IP:PORT (show|cancel) ID

Prints the state of a job, or cancels it, at an instance's client address.
Exit code 0 = complete, running or cancelled, 1 = failed, 3 = not run, 4 = unknown.
";

/// `settings`.
pub const SETTINGS: &str = "\
apricotroute settings --to IP:PORT get [PATH]
apricotroute settings --to IP:PORT set PATH JSON [--base N] [--change UUID]
apricotroute settings --to IP:PORT log

Reads and changes the settings tree at an instance's operator address. `/` is the root. JSON is an
object of overrides; null removes one. With --base the change is applied only if the tree still
has that version. A repeated request with the same --change returns the first outcome.
";

/// `status`.
pub const STATUS: &str = "\
apricotroute status --to IP:PORT [--json]

Shows groups, leaders, members, upstreams, shares and queues at an instance's operator address.
";

/// `upstream`.
pub const UPSTREAM: &str = "\
apricotroute upstream --to IP:PORT[,IP:PORT...] [options]

  --name NAME          name (default u1)
  --service PATH       service (default polish-board)
  --zone NAME          availability zone (default west)
  --listen IP:PORT     address for tasks (default 127.0.0.1:0)
  --slots N            number of concurrent tasks (default 8)
  --service-ms N       service time (default 50)
  --tail N             one in N tasks takes ten times as long (default 0 = none)
  --mode MODE          answer, fail, hang or refuse (default answer)
  --count N            run N of them, NAME-1 to NAME-N (default 0 = one named NAME)
  --odd N              only the first N use MODE, the others answer (default 0 = all use it)
  --odd-ms N           service time of those that use MODE (default 0 = the same as the others)
  --log FILE           append each task start to FILE before the task runs
  --cores X --memory-mb N --accelerators N   declared capacity of one slot

Runs a stand-in upstream until SIGTERM or SIGINT, on which it announces that it is leaving and
waits a minute at most for its running tasks.
";
