/** Subjects that a `show` query can list. */
export type ShowSubject =
    | "instances"
    | "servers"
    | "services"
    | "peers"
    | "drains"
    | "shifts"
    | "configuration"
    | "operations"
    | "struck";

/** A `show` query, which lists the rows of one subject. */
export interface ShowQuery {
    readonly kind: "show";
    readonly subject: ShowSubject;
    /** Only rows of this service are listed; undefined lists the rows of all services. */
    readonly of: string | undefined;
    readonly where: readonly { readonly field: string; readonly value: string; }[];
    readonly orderBy: string | undefined;
}

/** An `explain lookup` query, which shows how entry instances are chosen for a client address. */
export interface ExplainLookupQuery {
    readonly kind: "explainLookup";
    readonly client: string;
    readonly service: string;
}

/** A `watch` statement, which repeats its query at a fixed interval. */
export interface WatchQuery {
    readonly kind: "watch";
    readonly query: ShowQuery;
}

/** A command; every command proposes a new version of the operators' configuration. */
export type OperatorCommand =
    | { readonly kind: "drain"; readonly region: string; readonly sharePerMinute: number; }
    | { readonly kind: "stopDrain"; readonly region: string; }
    | { readonly kind: "cap"; readonly service: string; readonly region: string; readonly requestsPerSecond: number; }
    | { readonly kind: "uncap"; readonly service: string; readonly region: string; }
    | { readonly kind: "accept"; readonly file: string; };

/** One parsed line of the statement language. */
export type Statement = ShowQuery | ExplainLookupQuery | WatchQuery | OperatorCommand;
