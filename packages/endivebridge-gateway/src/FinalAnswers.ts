/** Response that the gateway sends when no backend server's response is available. */
export interface FinalAnswer {
    readonly status: number;
    readonly meaning: string;
    /** True only if no backend server has run the request and none will run it. */
    readonly notRun: boolean;
}

/** All final answers that the gateway generates itself. */
export const finalAnswers = {
    badRequest: { status: 400, notRun: true, meaning: "the request is malformed" },
    noRoute: { status: 404, notRun: true, meaning: "no route takes this host and path" },
    bodyTooLarge: { status: 413, notRun: true, meaning: "the request body is over the limit" },
    notReady: { status: 503, notRun: true, meaning: "the instance has no configuration yet" },
    leaving: { status: 503, notRun: true, meaning: "the instance is shutting down" },
    noServers: { status: 503, notRun: true, meaning: "no backend server of the service can be used" },
    overloaded: { status: 503, notRun: true, meaning: "no slot will be free in time" },
    memoryFull: { status: 503, notRun: true, meaning: "callers hold as much memory as the instance may use for them" },
    rateLimited: { status: 503, notRun: true, meaning: "the rate limits of all backend servers are used up" },
    paused: { status: 503, notRun: true, meaning: "all backend servers of the service have asked for a pause" },
    rejected: { status: 503, notRun: true, meaning: "backend servers rejected the request without running it" },
    unreachable: { status: 503, notRun: true, meaning: "no backend server could be reached" },
    quarantined: { status: 503, notRun: true, meaning: "backend servers crashed while running this request" },
    crashedServers: { status: 502, notRun: false, meaning: "backend servers crashed while running this request" },
    answerLost: { status: 502, notRun: false, meaning: "the backend server's answer was lost" },
    timedOutBeforeRun: { status: 503, notRun: true, meaning: "the deadline passed before a slot was free" },
    timedOut: { status: 504, notRun: false, meaning: "the deadline passed while a backend server had the request" },
    internal: { status: 500, notRun: false, meaning: "a fault of the gateway itself" }
} as const satisfies Record<string, FinalAnswer>;

/** Retry-After of a request that a stopping instance refuses: another instance can serve it at once. */
export const leavingRetryMillis = 10;

/** Kind of a final answer that the gateway generates. */
export type FinalAnswerKind = keyof typeof finalAnswers;
