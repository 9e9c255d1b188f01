export { type Daemon, startDaemon } from "./Daemon";
