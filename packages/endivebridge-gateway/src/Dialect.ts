/** Names of the headers and the cookie that the gateway reads or sets; all in lower case. */
export interface Dialect {
    readonly requestIdHeader: string;
    /** Header with the milliseconds that the caller, or this instance on its behalf, will wait. */
    readonly deadlineHeader: string;
    /** Cookie with the key of the object that a request concerns. */
    readonly affinityCookie: string;
    /** Header with the id of the only backend server that may run the request. */
    readonly targetServerHeader: string;
    /** Header with the signature that a backend server puts on its own responses. */
    readonly signatureHeader: string;
    /** Header that is present if the backend server did not run the request. */
    readonly notExecutedHeader: string;
    readonly serverIdHeader: string;
    readonly coldMillisHeader: string;
    readonly serverLoadHeader: string;
    /** Header with the requests per second that the backend server accepts from all instances together. */
    readonly serverLimitHeader: string;
    /** Header that an answer has once its backend server is leaving; callers do not get it. */
    readonly serverLeavingHeader: string;
    readonly isServerLeaving: (text: string) => boolean;
    /** Header of a refusal with the time for which its backend server wants no requests of this instance. */
    readonly pauseHeader: string;
    /** Parses the time of a pause; undefined if it is none. */
    readonly parsePauseMillis: (text: string) => number | undefined;
    readonly parseServerLimit: (text: string) => number | undefined;
    readonly parseServerLoad: (text: string) => ServerLoad | undefined;
}

/** Load that a backend server reports with an answer. */
export interface ServerLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Current duration of work relative to the usual duration; 1 is usual. */
    readonly slowness: number;
}
