export default [{ ignores: ["**"] }];
