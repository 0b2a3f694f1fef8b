//! What `--help` prints, command by command; `explain`, `losses` and `load` keep theirs beside their options.

/// All commands.
pub const ALL: &str = "\
apricotroute: a dispatcher for tasks shorter than a second

  serve --settings FILE          run one instance until SIGTERM or SIGINT
  node --settings FILE           run one instance that finds the others through seeds
  check FILE                     check a bootstrap file
  demo                           run one job on an instance inside this process
  submit --to IP:PORT FILE       submit a job file and print its answer
  job --to IP:PORT show ID       say how a job stands; `cancel ID` cancels it
  settings --to IP:PORT get PATH read settings; also `set PATH JSON` and `log`
  status --to IP:PORT            groups, members, upstreams, shares and queues
  explain ID FILE...             the story of one request from the logs of several processes
  losses FILE...                 how many requests were lost, by cause and time, from such logs
  load --to IP:PORT[,...]        open-loop load with response times over the ideal
  upstream --to IP:PORT[,...]    a stand-in upstream for trials and tests

`apricotroute COMMAND --help` tells more. Exit code 2: the arguments or a file are at fault.
";

/// `serve`.
pub const SERVE: &str = "\
apricotroute serve --settings FILE

Runs one instance in the foreground. SIGTERM and SIGINT let everything in progress end first;
a second signal does not shorten that, `drain_ms` of the file bounds it.
";

/// `node`.
pub const NODE: &str = "\
apricotroute node --settings FILE

Runs one instance of a system on the users' platform in the foreground, an entry or a keeper as
its file says. SIGHUP reads the file again; SIGTERM and SIGINT let everything in progress end.
";

/// `check`.
pub const CHECK: &str = "\
apricotroute check FILE

Checks a bootstrap file. Exit code 0, or 2 with every fault by its JSON path, line and reason.
";

/// `demo`.
pub const DEMO: &str = "\
apricotroute demo [--platform]

Runs one instance with stand-in upstreams inside this process, submits one job and prints its
answer as JSON.

  --platform   a keeper, an entry and upstreams that speak the calls of the users' platform
";

/// `submit`.
pub const SUBMIT: &str = "\
apricotroute submit --to IP:PORT [--job ID] FILE

Submits the job in FILE (`-` = standard input) at an instance's client address. Without an id in
FILE or --job a fresh one is minted for the zone in --zone NAME. Prints the answer.
Exit code 0 = complete, 1 = failed, 3 = not run, 4 = unknown.
";

/// `job`.
pub const JOB: &str = "\
apricotroute job --to IP:PORT (show|cancel) ID

Says how a job stands, or cancels it, at an instance's client address.
Exit code 0 = complete, running or cancelled, 1 = failed, 3 = not run, 4 = unknown.
";

/// `settings`.
pub const SETTINGS: &str = "\
apricotroute settings --to IP:PORT get [PATH]
apricotroute settings --to IP:PORT set PATH JSON [--base N] [--change UUID]
apricotroute settings --to IP:PORT log

Reads and changes the settings tree at an instance's operator address. `/` is the root. JSON is an
object of overrides; null removes one. With --base the change counts only if the tree still has
that version. A resend with the same --change gets the first outcome.
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
  --slots N            tasks at a time (default 8)
  --service-ms N       service time (default 50)
  --tail N             one in N tasks takes ten times as long (default 0 = none)
  --mode MODE          answer, fail, hang or refuse (default answer)
  --count N            run N of them, NAME-1 to NAME-N (default 0 = one, called NAME)
  --odd N              only the first N have the mode, the others answer (default 0 = all have it)
  --odd-ms N           service time of these (default 0 = that of all)
  --log FILE           append each start before the task runs
  --cores X --memory-mb N --accelerators N   declared room of one slot

Runs a stand-in upstream until SIGTERM, which makes it leave first.
";
