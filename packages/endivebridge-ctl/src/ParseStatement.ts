import { type Either, Left, Right } from "purify-ts";
import { parse, SyntaxError as StatementSyntaxError } from "./generated/Statement.js";
import type { Statement } from "./Statement";

/** Parses one line; a syntax error is returned as text with the column marked and the expected input listed. */
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
