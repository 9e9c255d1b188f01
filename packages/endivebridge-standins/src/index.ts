export {
    answerBody,
    type BackendBehaviour,
    type BackendOptions,
    type BackendRecord,
    type BackendStandIn,
    callerRegionHeader,
    queueMillisHeader,
    startBackendStandIn,
    tokenHeader
} from "./BackendStandIn";
export {
    listen,
    type PlatformFaults,
    type PlatformRecord,
    type PlatformStandIn,
    portOf,
    startPlatformStandIn
} from "./PlatformStandIn";
export { type Direction, type Link, type LinkOptions, makeSharedRate, openLink, type SharedRate } from "./Proxy";
