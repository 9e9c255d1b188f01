/** Whether a backend server ran the request; `maybe` if that is unknown. */
export type Ran = "no" | "maybe" | "yes";

/** Response that a caller gets for one kind of error. */
export interface ErrorAnswer {
    readonly status: number;
    readonly ran: Ran;
    readonly retry: boolean;
    readonly meaning: string;
}

/** All error kinds with the response for each. */
export const errorAnswers = {
    badRequest: { status: 400, ran: "no", retry: false, meaning: "the request is malformed" },
    operationRequired: {
        status: 400,
        ran: "no",
        retry: false,
        meaning: "a route that is not idempotent needs an operation id or an Idempotency-Key"
    },
    unauthorized: { status: 401, ran: "no", retry: false, meaning: "the key is missing or wrong" },
    unknownService: { status: 404, ran: "no", retry: false, meaning: "no such service is declared" },
    bodyTooLarge: { status: 413, ran: "no", retry: false, meaning: "the request body is over the limit" },
    operationMismatch: {
        status: 422,
        ran: "no",
        retry: false,
        meaning: "the operation id was used before with another request"
    },
    quarantined: { status: 422, ran: "no", retry: false, meaning: "backend servers died while running this request" },
    operationExpired: {
        status: 409,
        ran: "maybe",
        retry: false,
        meaning: "the operation id is older than the memory of operations"
    },
    answerNotKept: {
        status: 409,
        ran: "yes",
        retry: false,
        meaning: "the operation ran, its answer was too large to be kept"
    },
    overloaded: { status: 503, ran: "no", retry: true, meaning: "no slot will be free in time" },
    capReached: { status: 503, ran: "no", retry: true, meaning: "the cap on traffic from other regions is reached" },
    noServers: { status: 503, ran: "no", retry: true, meaning: "no backend server of the service can be used" },
    notReady: { status: 503, ran: "no", retry: true, meaning: "the instance has no configuration yet" },
    shuttingDown: { status: 503, ran: "no", retry: true, meaning: "the instance is shutting down" },
    journalFull: { status: 503, ran: "no", retry: true, meaning: "no further operation can be remembered" },
    platformDown: {
        status: 503,
        ran: "no",
        retry: true,
        meaning: "the platform's table service is needed and is down"
    },
    deadlineBeforeRun: { status: 504, ran: "no", retry: true, meaning: "the deadline passed before a slot was free" },
    deadlineInRun: {
        status: 504,
        ran: "maybe",
        retry: true,
        meaning: "the deadline passed while a backend server ran it"
    },
    serverFailed: { status: 502, ran: "maybe", retry: true, meaning: "the backend server's answer was lost" },
    ownerUnreachable: {
        status: 502,
        ran: "maybe",
        retry: true,
        meaning: "the instance that owns the operation cannot be asked"
    },
    internal: { status: 500, ran: "maybe", retry: true, meaning: "a fault of the system itself" }
} as const satisfies Record<string, ErrorAnswer>;

/** Key of `errorAnswers`, as sent to callers and peers. */
export type ErrorKind = keyof typeof errorAnswers;

/** Error value with its kind and an optional explanation. */
export interface SteeringError {
    readonly kind: ErrorKind;
    readonly detail: string;
}

/** Creates an error value; the detail is empty by default. */
export function steeringError(kind: ErrorKind, detail = ""): SteeringError {
    return { kind, detail };
}

/** Parses an error kind received from another process; unknown kinds become `internal`. */
export function parseErrorKind(text: string): ErrorKind {
    return Object.hasOwn(errorAnswers, text) ? (text as ErrorKind) : "internal";
}
