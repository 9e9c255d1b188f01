/** Names of the headers and the cookie that the gateway reads or sets; all in lower case. */
export interface Dialect {
    readonly requestIdHeader: string;
    /** Milliseconds that the caller, or this instance on its behalf, will wait. */
    readonly deadlineHeader: string;
    /** Cookie that names the object which a request concerns. */
    readonly affinityCookie: string;
    /** Id of the only backend server that may run the request. */
    readonly targetServerHeader: string;
    /** Signature that a backend server puts on its own responses. */
    readonly signatureHeader: string;
    /** Present where the backend server did not run the request. */
    readonly notExecutedHeader: string;
    readonly serverIdHeader: string;
    readonly coldMillisHeader: string;
    readonly serverLoadHeader: string;
    readonly parseServerLoad: (text: string) => ServerLoad | undefined;
}

/** Load that a backend server reports with an answer. */
export interface ServerLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Time that work takes at this moment relative to usual; 1 is usual. */
    readonly slowness: number;
}
