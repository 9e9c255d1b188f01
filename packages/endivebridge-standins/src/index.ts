export {
    type BackendBehaviour,
    type BackendOptions,
    type BackendRecord,
    type BackendStandIn,
    buildResponseBody,
    callerRegionHeader,
    queueMillisHeader,
    startBackendStandIn,
    tokenHeader
} from "./BackendStandIn";
export { type ClientFlood, type ClientFloodOptions, type FloodConnection, openClientFlood } from "./ClientFlood";
export {
    endlessBodies,
    endlessBytesAfter,
    type EndlessConnection,
    endlessNonAnswers,
    type EndlessOptions,
    type EndlessResponse,
    type EndlessStandIn,
    maxEndlessBytes,
    startEndlessStandIn
} from "./EndlessStandIn";
export { type Link, type LinkDirection, type LinkOptions, makeSharedRate, openLink, type SharedRate } from "./Link";
export {
    getListeningPort,
    listen,
    type PlatformFaults,
    type PlatformRecord,
    type PlatformStandIn,
    startPlatformStandIn
} from "./PlatformStandIn";
export { type ProcessUse, type ProcessWatch, watchProcess } from "./WatchProcess";
