/** Lint rules: typescript-eslint's recommended set and Deno's naming rules. */
import tseslint from "typescript-eslint";

const snakeCaseFileName = {
  create(context) {
    return {
      Program(node) {
        const name = context.filename.split("/").at(-1) ?? "";
        if (!/^[a-z0-9_]+(\.config)?\.(ts|js|cjs)$/.test(name)) {
          context.report({
            node,
            message: `file name "${name}" must be snake_case`,
          });
        }
      },
    };
  },
};

const maxFileLines = ["error", {
  max: 500,
  skipBlankLines: false,
  skipComments: false,
}];

export default tseslint.config(
  { ignores: ["dist", "node_modules", "target"] },
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: {
          allowDefaultProject: [
            "eslint.config.js",
            "deploy/build.js",
            "deploy/plain_assert.cjs",
            "tools/clients_ava.config.js",
            "tools/format.js",
          ],
        },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { local: { rules: { "snake-case-file": snakeCaseFileName } } },
    rules: {
      "local/snake-case-file": "error",
      "max-lines": maxFileLines,
      "max-depth": ["error", 4],
      "func-style": ["error", "declaration", { allowArrowFunctions: false }],
      "eqeqeq": "error",
      "prefer-const": "error",
      "no-console": "error",
      "@typescript-eslint/naming-convention": [
        "error",
        {
          selector: "typeLike",
          format: ["PascalCase"],
          leadingUnderscore: "allow",
        },
        {
          selector: "function",
          format: ["camelCase"],
          leadingUnderscore: "allow",
        },
        {
          selector: "variable",
          format: ["camelCase", "UPPER_CASE", "PascalCase"],
          leadingUnderscore: "allow",
        },
        {
          selector: "parameter",
          format: ["camelCase"],
          leadingUnderscore: "allow",
        },
      ],
      "@typescript-eslint/no-unused-vars": ["error", {
        argsIgnorePattern: "^_",
      }],
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/no-floating-promises": ["error", {
        ignoreVoid: true,
      }],
      "@typescript-eslint/require-await": "off",
    },
  },
  { files: ["**/*_test.ts"], rules: { "max-lines": "off" } },
  {
    files: ["eslint.config.js", "deploy/*.js", "deploy/*.cjs", "tools/*.js"],
    ...tseslint.configs.disableTypeChecked,
  },
  {
    // The bundled libraries load their assertions with require.
    files: ["deploy/*.cjs"],
    rules: { "@typescript-eslint/no-require-imports": "off" },
    languageOptions: { globals: { module: "readonly", require: "readonly" } },
  },
  {
    files: [
      "bin/**",
      "demo/**",
      "tools/**",
      "soak/**",
      "bench/**",
      "invariants/**",
      "soak/**",
    ],
    rules: { "no-console": "off" },
  },
);
