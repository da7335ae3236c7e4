import test from "ava";
import { partKeyOf } from "./prompt_directory.ts";
import { parseStatedPrompt } from "./stated_prompt.ts";

/** Entries that fill a head of the largest size that the users configure. */
const MOST_PARTS = 2_700;

function textOf(count: number): string {
  return Array.from({ length: count }, (_, index) => `p${index}:${index}`)
    .join(",");
}

function tokensOf({ parts }: ReturnType<typeof parseStatedPrompt>): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

test("guards against a prompt that counts as one without parts because it has many, and against losing one of its keys or tokens", (t) => {
  for (const count of [1, 2, 64, 65, 66, 80, 129, 1_000, MOST_PARTS]) {
    const prompt = parseStatedPrompt(textOf(count));
    const shared = Math.max(1, count - 1);
    t.deepEqual(
      prompt.sharedKeys,
      Array.from(
        { length: shared },
        (_, index) => partKeyOf({ id: `p${index}`, tokens: 0 }),
      ),
    );
    t.is(tokensOf(prompt), (count * (count - 1)) / 2, `${count}`);
    t.true(prompt.parts.length <= 65, `${count}: ${prompt.parts.length}`);
  }
});

test("guards against joined parts that differ between prompts that begin alike, and against joining the last part, which is the request's own", (t) => {
  const shorter = parseStatedPrompt(textOf(100)).parts;
  const longer = parseStatedPrompt(textOf(120)).parts;
  const alike = shorter.filter((part, index) => part.id === longer[index]?.id);
  t.is(alike.length, 49);
  t.deepEqual(shorter.at(-1), { id: "p99", tokens: 99 });
  const own = parseStatedPrompt(`${textOf(99)},other:99`).parts;
  t.deepEqual(own.slice(0, -1), shorter.slice(0, -1));
});

test("guards against changing a prompt of few parts, and against reading an invalid one", (t) => {
  t.deepEqual(parseStatedPrompt("a:1, b:2").parts, [
    { id: "a", tokens: 1 },
    { id: "b", tokens: 2 },
  ]);
  for (const text of [undefined, "", "a", "a:x", "a:1,,b:2"]) {
    t.deepEqual(parseStatedPrompt(text), { parts: [], sharedKeys: [] });
  }
});
