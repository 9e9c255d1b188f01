import { type Either, Left, Right } from "purify-ts";
import { parse, SyntaxError as StatementSyntaxError } from "./generated/Statement.js";
import type { Statement } from "./Statement";

/** Reads one line; a fault is told with its place and what was expected there. */
export function parseStatement(line: string): Either<string, Statement> {
    try {
        return Right(parse(line) as Statement);
    }
    catch (error) {
        if (error instanceof StatementSyntaxError) {
            const column = error.location.start.column;
            return Left(`${line}\n${" ".repeat(column - 1)}^\n${error.message}`);
        }
        throw error;
    }
}
