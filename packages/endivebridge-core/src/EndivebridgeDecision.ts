import { Schema } from "effect";

const AssignedSlots = Schema.Struct({
    server: Schema.String,
    address: Schema.String,
    usableSlots: Schema.Int,
    leaving: Schema.Boolean
});

/** Schema of one recorded input of server selection, with the decision if the step made one. */
export const DecisionStep = Schema.Union([
    Schema.Struct({ step: Schema.Literal("assign"), atMillis: Schema.Number, slots: Schema.Array(AssignedSlots) }),
    Schema.Struct({
        step: Schema.Literal("acquire"),
        atMillis: Schema.Number,
        excluded: Schema.Array(Schema.String),
        mayProbe: Schema.Boolean,
        lastResort: Schema.Boolean,
        mayDispatch: Schema.Boolean,
        /** Chosen server; empty if none was free. */
        chosen: Schema.String
    }),
    Schema.Struct({ step: Schema.Literal("release"), atMillis: Schema.Number, server: Schema.String }),
    Schema.Struct({
        step: Schema.Literal("answer"),
        atMillis: Schema.Number,
        server: Schema.String,
        tookMillis: Schema.Number,
        late: Schema.Boolean
    }),
    Schema.Struct({
        step: Schema.Literal("late"),
        atMillis: Schema.Number,
        server: Schema.String,
        maySetAside: Schema.Boolean
    }),
    Schema.Struct({
        step: Schema.Literal("unreachable"),
        atMillis: Schema.Number,
        server: Schema.String,
        untilMillis: Schema.Number
    })
]);

/** One recorded step of server selection, used for replay. */
export type DecisionStep = typeof DecisionStep.Type;
