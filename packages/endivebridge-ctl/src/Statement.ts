/** What a query can show. */
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

/** A query that lists rows. */
export interface ShowQuery {
    readonly kind: "show";
    readonly subject: ShowSubject;
    /** Service that the rows must belong to. */
    readonly of: string | undefined;
    readonly where: readonly { readonly field: string; readonly value: string; }[];
    readonly orderBy: string | undefined;
}

/** A query that explains a look-up. */
export interface ExplainLookupQuery {
    readonly kind: "explainLookup";
    readonly client: string;
    readonly service: string;
}

/** A query that is repeated. */
export interface WatchQuery {
    readonly kind: "watch";
    readonly query: ShowQuery;
}

/** A command; each changes the operators' configuration. */
export type OperatorCommand =
    | { readonly kind: "drain"; readonly region: string; readonly sharePerMinute: number; }
    | { readonly kind: "stopDrain"; readonly region: string; }
    | { readonly kind: "cap"; readonly service: string; readonly region: string; readonly requestsPerSecond: number; }
    | { readonly kind: "uncap"; readonly service: string; readonly region: string; }
    | { readonly kind: "accept"; readonly file: string; };

/** One line of the operators' language. */
export type Statement = ShowQuery | ExplainLookupQuery | WatchQuery | OperatorCommand;
